// Command slatewind is the operators' tool: it checks settings, shows the state and
// the decisions of running processes, replays traces and measures the policy.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"slatewind.example/slatewind/cli"
	"slatewind.example/slatewind/daemon"
)

func main() {
	os.Exit(run())
}

func run() int {
	parser := flags.NewNamedParser("slatewind", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = cli.ExitCodes
	var global struct {
		Version func() `long:"version" description:"print the version and exit"`
	}
	global.Version = func() {
		fmt.Println("slatewind " + daemon.Version)
		os.Exit(cli.ExitOK)
	}
	if _, err := parser.AddGroup("Global options", "", &global); err != nil {
		panic(err)
	}
	if err := cli.AddCommands(parser, os.Stdout); err != nil {
		panic(err)
	}
	_, err := parser.Parse()
	switch {
	case err == nil:
	case cli.IsHelp(err):
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
	}
	return cli.ExitCode(err)
}
