package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"slatewind.example/slatewind/workspace"
)

// digestCommand prints the digests of keys for settings. It reads the keys from standard input,
// since other users of the machine can read command lines.
type digestCommand struct {
	out io.Writer
	in  io.Reader
}

// Execute implements flags.Commander.
func (c *digestCommand) Execute([]string) error {
	in := c.in
	if in == nil {
		in = os.Stdin
	}
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		key := strings.TrimRight(lines.Text(), "\r")
		if err := workspace.CheckKey(key); err != nil {
			return ErrFindings.New("line %d: %v", n, err)
		}
		if _, err := fmt.Fprintln(c.out, workspace.DigestOf(key)); err != nil {
			return err
		}
	}
	return ErrUnreached.Wrap(lines.Err())
}
