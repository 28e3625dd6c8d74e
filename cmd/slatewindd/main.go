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

// catchSignals keeps signals from terminating the process from its start to its exit, and returns the channel of
// those that ask it to stop. SIGHUP makes a running process reload its settings; no reload handler is registered
// before the settings are first read, and at the end of a stop. SIGPIPE follows a write to standard output or
// standard error after their reader has closed them.
func catchSignals() <-chan os.Signal {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	return stop
}

func run(stop <-chan os.Signal) int {
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
	process, err := config.LoadProcess(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	daemon.SetInitialGCPercent()
	ctx, cancel := context.WithCancel(context.Background())
	lines := daemon.NewLogWriter(ctx, os.Stdout)
	defer lines.Wait()
	defer cancel()
	logger := daemon.NewLogger(lines, o.Verbose)
	daemon.RedirectLibraryLogs(logger)
	end := daemon.End{Status: exitOK}
	if end.Signal, err = serve(fx.New(daemon.Options(o.Settings, process, logger)), stop); err != nil {
		fmt.Fprintln(os.Stderr, err)
		end.Status, end.Err = exitFailure, err
	}
	end.Log(logger, usage.LimitsOf(process))
	return end.Status
}

// serve runs the process until it receives a signal to stop, which it returns, and then drains it. A start that
// the signal ends early is no error. Neither the start nor the stop has a time limit here: the parts bound
// their own waits, and the platform kills a process that does not stop in time.
func serve(app *fx.App, stop <-chan os.Signal) (received os.Signal, err error) {
	starting, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan error, 1)
	go func() { started <- app.Start(starting) }()
	select {
	case err := <-started:
		if err != nil {
			return nil, err
		}
		received = <-stop
	case received = <-stop:
		cancel()
		if <-started != nil {
			return received, nil
		}
	}
	return received, app.Stop(context.Background())
}
