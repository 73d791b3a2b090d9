// Command wmuxctl is the command-line client for operators of the control group and the entry VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

const callTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	opts := &options{out: os.Stdout}
	root := command(opts)
	if err := root.ExecuteContext(ctx); err != nil {
		opts.printError(os.Stderr, err)
		os.Exit(exitCodeOf(err))
	}
}

func command(opts *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "wmuxctl",
		Short: "Operate wisteriamux",
		Long: `Operate wisteriamux.

Every command accepts --json for machine-readable output. Exit codes:
  0  success
  1  internal error
  2  bad request: wrong usage, or a file with problems
  3  conflict: the base version is not current, or the state does not allow the change
  4  not found
  5  unavailable: no leader of the control group responded; repeat the command
  6  accepted, but not in force before the timeout; it will be in force later
  7  explain: no route for the host and the path
  8  explain: the entry VM has no configuration yet
  9  explain: unknown team
  10 explain: an entry VM cannot be reached, or none of them is in the failure domain`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringSliceVar(&opts.control, "control", []string{"127.0.0.1:7001"}, "addresses of the control members")
	root.PersistentFlags().BoolVar(&opts.json, "json", false, "print JSON")
	root.PersistentFlags().DurationVar(&opts.timeout, "timeout", callTimeout, "how long to try to reach the leader of the control group")
	root.PersistentFlags().StringVar(&opts.tls.Certificate, "tls-certificate", "", "certificate of the operator")
	root.PersistentFlags().StringVar(&opts.tls.Key, "tls-key", "", "private key of the operator's certificate")
	root.PersistentFlags().StringVar(&opts.tls.Authority, "tls-authority", "", "certificate of the certificate authority")
	root.AddCommand(
		certificateCommand(), burnCommand(opts), shrinkCommand(opts), applyCommand(opts), configCommand(opts),
		statusCommand(opts), servicesCommand(opts), membersCommand(opts),
		upstreamsCommand(opts), drainCommand(opts), undrainCommand(opts),
		routesCommand(opts), limitsCommand(opts), quotasCommand(opts), explainCommand(opts), noticesCommand(opts), paceCommand(opts), evacuateCommand(opts), trailCommand(opts), bookingsCommand(opts), quarantineCommand(opts), controlCommand(opts),
	)
	return root
}

// parentCommand returns a command that only groups subcommands. Without RunE, cobra would print the help text and exit
// with 0 for a mistyped subcommand.
func parentCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fault.New(fault.BadRequest, "wmuxctl", "%q needs a subcommand; see %q", cmd.CommandPath(), cmd.CommandPath()+" --help")
		},
	}
}

// viewCommand returns a command without arguments that fetches the current view and passes it to show. The caller sets
// the name and the help texts of the command.
func viewCommand(opts *options, show func(view model.View) error) *cobra.Command {
	return &cobra.Command{
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				view, _, err := s.View(s.ctx, 0)
				if err != nil {
					return err
				}
				return show(view)
			})
		},
	}
}

// session is the control client of one command, with the context of its calls.
type session struct {
	*controlrpc.Client
	ctx context.Context
}

// withControl calls run with a client of the control group and a context that ends at the timeout of the command.
func (o *options) withControl(cmd *cobra.Command, run func(s session) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	transport, err := security.NewTransport(o.tls)
	if err != nil {
		return err
	}
	client := controlrpc.NewClient(o.control, transport.Dialer(controlrpc.PlainDialer, security.RoleControl))
	defer client.Close()
	return run(session{Client: client, ctx: ctx})
}
