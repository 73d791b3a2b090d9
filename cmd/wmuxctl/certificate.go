package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

const (
	defaultAuthorityLifetime   = 10 * 365 * 24 * time.Hour
	defaultCertificateLifetime = 90 * 24 * time.Hour
)

func certificateCommand() *cobra.Command {
	parent := parentCommand("certificate", "Create certificates for processes and operators")
	var dir string
	parent.PersistentFlags().StringVar(&dir, "dir", ".", "directory of the certificate authority and the certificates")
	parent.AddCommand(authorityCommand(&dir), issueCommand(&dir))
	return parent
}

func authorityCommand(dir *string) *cobra.Command {
	var lifetime time.Duration
	command := &cobra.Command{
		Use:     "authority",
		Short:   "Create a certificate authority",
		Example: "  wmuxctl certificate authority --dir pki",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := security.CreateAuthority(*dir, lifetime); err != nil {
				return err
			}
			cmd.Printf("certificate authority created in %s\n", *dir)
			return nil
		},
	}
	command.Flags().DurationVar(&lifetime, "lifetime", defaultAuthorityLifetime, "validity period of the certificate authority")
	return command
}

func issueCommand(dir *string) *cobra.Command {
	var lifetime time.Duration
	var role string
	command := &cobra.Command{
		Use:     "issue NAME",
		Short:   "Issue a certificate; processes that use the file reload it without a restart",
		Example: "  wmuxctl certificate issue entry-1 --role entry --dir pki",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			identity := security.Identity{Role: security.Role(role), Name: args[0]}
			if !identity.Role.Valid() {
				return fault.New(fault.BadRequest, "certificate.issue", "unknown role %q: must be entry, control or operator", role)
			}
			files, err := security.Issue(*dir, identity, lifetime)
			if err != nil {
				return err
			}
			cmd.Printf("certificate %s, key %s\n", files.Certificate, files.Key)
			return nil
		},
	}
	command.Flags().StringVar(&role, "role", "", "role of the holder: entry, control or operator")
	command.Flags().DurationVar(&lifetime, "lifetime", defaultCertificateLifetime, "validity period of the certificate")
	_ = command.MarkFlagRequired("role")
	return command
}
