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
	catchSignals()
	os.Exit(run())
}

// catchSignals keeps signals that must not terminate a process from doing so. SIGHUP makes a running process reload
// its settings; no reload handler is registered before the settings are first read, and at the end of a
// stop. SIGPIPE follows a write to standard output or standard error after their reader has closed them.
func catchSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
}

func run() int {
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
	if end.Signal, err = serve(fx.New(daemon.Options(o.Settings, process, logger))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		end.Status, end.Err = exitFailure, err
	}
	end.Log(logger, usage.LimitsOf(process))
	return end.Status
}

// serve runs the process until it receives a stop signal, which it returns, and then drains it.
func serve(app *fx.App) (received os.Signal, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return nil, err
	}
	received = (<-app.Wait()).Signal
	stopping, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return received, app.Stop(stopping)
}
