// Command wmuxctl is the operators' command line.
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
	shared := &options{out: os.Stdout}
	root := command(shared)
	if err := root.ExecuteContext(ctx); err != nil {
		shared.printError(os.Stderr, err)
		os.Exit(exitCodeOf(err))
	}
}

func command(shared *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "wmuxctl",
		Short: "Operate wisteriamux",
		Long: `Operate wisteriamux.

Every command takes --json for programs. Exit codes:
  0  done
  1  internal failure
  2  bad request: wrong usage, or a file with problems
  3  conflict: the base version is not current, or the state does not allow the change
  4  not found
  5  unavailable: no control leader answered; repeat the command
  6  accepted, but not in force in time; it will be`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringSliceVar(&shared.control, "control", []string{"127.0.0.1:7001"}, "addresses of the control members")
	root.PersistentFlags().BoolVar(&shared.json, "json", false, "print JSON")
	root.PersistentFlags().DurationVar(&shared.timeout, "timeout", callTimeout, "how long to try to reach the control leader")
	root.PersistentFlags().StringVar(&shared.tls.Certificate, "tls-certificate", "", "certificate of the operator")
	root.PersistentFlags().StringVar(&shared.tls.Key, "tls-key", "", "key of the operator's certificate")
	root.PersistentFlags().StringVar(&shared.tls.Authority, "tls-authority", "", "certificate of the authority")
	root.AddCommand(
		certificateCommand(), burnCommand(shared), shrinkCommand(shared), applyCommand(shared), configCommand(shared),
		statusCommand(shared), servicesCommand(shared), membersCommand(shared),
		upstreamsCommand(shared), drainCommand(shared), undrainCommand(shared),
		routesCommand(shared), trailCommand(shared), bookingsCommand(shared), quarantineCommand(shared), controlCommand(shared),
	)
	return root
}

// parentCommand returns a command that only holds subcommands. Without RunE, cobra would answer a mistyped subcommand
// with the help text and the exit code of success.
func parentCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fault.New(fault.BadRequest, "wmuxctl", "%q needs a subcommand; see %q", cmd.CommandPath(), cmd.CommandPath()+" --help")
		},
	}
}

// viewCommand returns a command without arguments that shows the current view. The caller sets its name and help.
func viewCommand(shared *options, show func(view model.View) error) *cobra.Command {
	return &cobra.Command{
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return shared.withControl(cmd, func(s session) error {
				view, _, err := s.View(s.ctx, 0)
				if err != nil {
					return err
				}
				return show(view)
			})
		},
	}
}

// session is one command's connection to the control group.
type session struct {
	*controlrpc.Client
	ctx context.Context
}

// withControl runs the work with a client and the time limit of the command.
func (o *options) withControl(cmd *cobra.Command, work func(s session) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	transport, err := security.NewTransport(o.tls)
	if err != nil {
		return err
	}
	client := controlrpc.NewClient(o.control, transport.Dialer(controlrpc.PlainDialer, security.RoleControl))
	defer client.Close()
	return work(session{Client: client, ctx: ctx})
}
