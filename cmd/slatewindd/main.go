// Command slatewindd runs the proxy beside the backend servers of a VM. It reads
// its settings from one YAML file. SIGTERM drains and stops it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/daemon"
	"slatewind.example/slatewind/usage"
)

// Exit codes.
const (
	exitOK       = 0
	exitSettings = 1
	exitUsage    = 2
	exitFailure  = 3
)

type options struct {
	Settings string `short:"s" long:"settings" env:"SLATEWIND_CONFIG" description:"YAML file with the settings of this process" value-name:"FILE"`
	Verbose  bool   `short:"v" long:"verbose" description:"log at debug level, decisions about single requests included"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(catchSignals()))
}

// stopSignal is the cause of the end of the context of catchSignals.
type stopSignal struct{ os.Signal }

// Error implements error.
func (s stopSignal) Error() string { return "signal " + s.String() }

// catchSignals keeps signals from terminating the process from its start to its exit, and returns a context that ends
// with the first one that asks it to stop. SIGHUP makes a running process reload its settings; no reload handler is
// registered before the settings are first read, and at the end of a stop. SIGPIPE follows a write to standard
// output or standard error after their reader has closed them.
func catchSignals() context.Context {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	running, cancel := context.WithCancelCause(context.Background())
	go func() { cancel(stopSignal{<-stop}) }()
	return running
}

// run runs the program until running ends, and returns its exit status.
func run(running context.Context) int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Exit codes: 0 stopped after a drain, 1 the settings have findings, 2 invalid command line, 3 start or stop failed."
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("slatewindd " + daemon.Version)
		return exitOK
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "slatewindd: no settings file: set --settings or SLATEWIND_CONFIG; see --help")
		return exitUsage
	}
	logging, cancel := context.WithCancel(context.Background())
	lines := daemon.NewLogWriter(logging, os.Stdout)
	defer lines.Wait()
	defer cancel()
	logger := daemon.NewLogger(lines, o.Verbose)
	daemon.RedirectLibraryLogs(logger)
	daemon.ReportPanics(logger)
	end := runDaemon(running, o.Settings, logger)
	if end.Err != nil {
		fmt.Fprintln(os.Stderr, end.Err)
	}
	end.Log(logger)
	return end.Status
}

// runDaemon reads the settings and runs the daemon until running ends.
func runDaemon(running context.Context, settings string, logger *log.Logger) daemon.End {
	process, err := config.AwaitProcess(running, settings)
	end := daemon.End{Limits: usage.LimitsOf(process)}
	switch {
	case err == nil:
		daemon.SetInitialGCPercent()
		if err = serve(running, fx.New(daemon.Options(settings, process, logger))); err != nil {
			end.Status, end.Err = exitFailure, err
		}
	case running.Err() == nil:
		end.Status, end.Err = exitSettings, err
	}
	var signalled stopSignal
	if errors.As(context.Cause(running), &signalled) {
		end.Signal = signalled.Signal
	}
	return end
}

// serve runs the app until running ends and then drains it. A start that is cut short by that is no error.
// Neither the start nor the stop has a time limit here: the parts bound their own waits, and the platform kills a
// process that does not stop in time.
func serve(running context.Context, app *fx.App) error {
	// The start may be complete although running has ended meanwhile, so it is followed by a stop.
	if err := app.Start(running); err != nil && running.Err() == nil {
		return err
	}
	<-running.Done()
	return app.Stop(context.Background())
}
