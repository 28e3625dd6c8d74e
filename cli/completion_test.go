package cli_test

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/cli"
)

// completed returns the completions that the parser offers for the last word.
func completed(t *testing.T, words ...string) []string {
	t.Helper()
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	parser := flags.NewNamedParser("slatewind", flags.HelpFlag|flags.PassDoubleDash)
	assert.NilError(t, cli.AddCommands(parser, &bytes.Buffer{}))
	var offered []string
	parser.CompletionHandler = func(items []flags.Completion) {
		for _, item := range items {
			offered = append(offered, item.Item)
		}
	}
	_, err := parser.ParseArgs(words)
	assert.NilError(t, err)
	return offered
}

// TestCompletion checks the completions offered for incomplete command lines.
func TestCompletion(t *testing.T) {
	tests := map[string]struct{ words, want []string }{
		"command":           {[]string{"re"}, []string{"ready", "record", "replay", "report"}},
		"option":            {[]string{"explain", "--re"}, []string{"--request"}},
		"nothing like that": {[]string{"explainer"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, completed(t, test.words...), test.want) })
	}
}

// TestCompletionScripts checks that there is a script for each supported shell, and an error for
// others.
func TestCompletionScripts(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		script, code := execute(t, "completion", shell)
		assert.Equal(t, code, cli.ExitOK)
		assert.Assert(t, strings.Contains(script, "slatewind completion "+shell), script)
	}
	out, code := execute(t, "completion", "csh")
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(out, `no script for "csh"`), out)
}

// TestCompletionInBash checks that bash can read the script and offers the words that the program
// prints.
func TestCompletionInBash(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("bash is not installed")
	}
	script, err := os.ReadFile("completions/slatewind.bash")
	assert.NilError(t, err)
	const asked = `
slatewind() { local IFS=' '; printf '%s\n' "$GO_FLAGS_COMPLETION:$*" other; }
COMP_WORDS=(slatewind explain --re) COMP_CWORD=2
_slatewind
printf '%s|' "${COMPREPLY[@]}"`
	out, err := exec.Command(bash, "--norc", "-c", string(script)+asked).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Equal(t, string(out), "1:explain --re|other|")
}
