package cli

import (
	"embed"
	"io"

	"github.com/zeebo/errs"
)

//go:embed completions
var completions embed.FS

type completionCommand struct {
	out  io.Writer
	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	script, err := completions.ReadFile("completions/slatewind." + c.Args.Shell)
	if err != nil {
		return errs.New("slatewind completion: no script for %q; supported shells are bash, zsh and fish", c.Args.Shell)
	}
	_, err = c.out.Write(script)
	return err
}
