package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/cli"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/policy"
)

// execute runs a command line and returns its output, with the error if any, and its exit code.
func execute(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	parser := flags.NewNamedParser("slatewind", flags.HelpFlag|flags.PassDoubleDash)
	assert.NilError(t, cli.AddCommands(parser, &out))
	_, err := parser.ParseArgs(args)
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), cli.ExitCode(err)
}

// fakeProcess serves an admin interface with two decisions and a state, and returns its address.
func fakeProcess(t *testing.T) string {
	t.Helper()
	j := history.New(0, nil)
	j.Add(slatewind.Decision{Time: time.Unix(0, 0), Kind: slatewind.DecisionEject, Service: "kassa", Server: "kassa-2", Reason: "its score reached the threshold", Evidence: "chart=slow"})
	j.Add(slatewind.Decision{Time: time.Unix(0, 0), Kind: slatewind.DecisionRefuse, Service: "kassa", Request: "r-1", Reason: "the queue is full"})
	web := httptest.NewServer(admin.NewHandler(admin.Sources{
		Journal:  j,
		Settings: func() admin.Settings { return admin.Settings{VM: "vm-1", Revision: 7, Digest: "ab"} },
		State: func() admin.State {
			return admin.State{VM: "vm-1", Ingress: ingress.View{Services: []ingress.ServiceView{{
				Name: "kassa", Servers: []policy.ServerView{{Name: "kassa-2", State: slatewind.ServerEjected, Leaving: true}},
			}}}}
		},
		Metrics: http.NotFoundHandler(),
		Record:  func() ([]byte, error) { return []byte("name: recorded\n"), nil },
		Ready:   func() bool { return true },
	}))
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func TestCommands(t *testing.T) {
	address := fakeProcess(t)
	wrong := filepath.Join(t.TempDir(), "wrong.yaml")
	assert.NilError(t, os.WriteFile(wrong, []byte("services: []\n"), 0o600))
	missed := filepath.Join(t.TempDir(), "missed.yaml")
	trace, err := os.ReadFile("../testdata/traces/kassa-hang.yaml")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(missed, append(trace, "  - {never_ejected: {server: kassa-1}}\n"...), 0o600))

	tests := map[string]struct {
		args   []string
		output string
		code   int
	}{
		"check":                {[]string{"check", "../examples/dakar/fleet.yaml", "../examples/svealand/fleet.yaml"}, "2 file(s) without findings", cli.ExitOK},
		"check findings":       {[]string{"check", wrong}, wrong + ":1:11: file describes no service (SW1004)", cli.ExitFindings},
		"check nothing":        {[]string{"check"}, "no FILE given", cli.ExitUsage},
		"check no such file":   {[]string{"check", "nowhere.yaml"}, "no such file", cli.ExitUnreached},
		"explain a check":      {[]string{"check", "--explain", "SW1006"}, "A floor is at most the number of servers", cli.ExitOK},
		"explain no check":     {[]string{"check", "--explain", "SW9"}, `unknown check "SW9"`, cli.ExitUsage},
		"state":                {[]string{"state", address}, "kassa-2     ejected", cli.ExitOK},
		"state, watched":       {[]string{"state", "--watch", "--every", "1ms", "--times", "2", address}, "ejected", cli.ExitOK},
		"state, never watched": {[]string{"state", "--watch", "--every", "0s", address}, "must be positive", cli.ExitUsage},
		"state as JSON":        {[]string{"state", "--json", address}, `"state": "ejected"`, cli.ExitOK},
		"explain a server":     {[]string{"explain", address, "--server", "kassa-2"}, "eject kassa kassa-2: its score reached the threshold [chart=slow]", cli.ExitOK},
		"explain a request":    {[]string{"explain", address, "--request", "r-1"}, "refuse kassa  r-1: the queue is full", cli.ExitOK},
		"explain nothing":      {[]string{"explain", address, "--request", "r-9"}, "no matching decisions", cli.ExitOK},
		"settings":             {[]string{"settings", address}, "vm-1  revision 7", cli.ExitOK},
		"settings, one away":   {[]string{"settings", address, "127.0.0.1:1"}, "connection refused", cli.ExitUnreached},
		"record":               {[]string{"record", address}, "name: recorded", cli.ExitOK},
		"ready":                {[]string{"ready", address}, "1 process(es) ready", cli.ExitOK},
		"not ready":            {[]string{"ready", "--within", "1ms", "127.0.0.1:1"}, "connection refused", cli.ExitUnreached},
		"replay":               {[]string{"replay", "../testdata/traces/kassa-hang.yaml"}, "pass kassa-hang", cli.ExitOK},
		"replay missed":        {[]string{"replay", missed}, "1 expected outcome(s) missed", cli.ExitFindings},
		"measure unknown":      {[]string{"measure", "nothing"}, `unknown scenario "nothing"`, cli.ExitUsage},
		"measure":              {[]string{"measure", "--seeds", "1", "--ours", "--csv", "hang"}, "hang,kassa,slatewind,false,", cli.ExitOK},
		"list scenarios":       {[]string{"measure", "--list"}, "held-retry-storm", cli.ExitOK},
		"unknown option":       {[]string{"state", "--nothing", address}, "unknown flag", cli.ExitUsage},
		"help of one command":  {[]string{"explain", "--help"}, "why a server was judged unhealthy", cli.ExitOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			output, code := execute(t, tt.args...)
			assert.Assert(t, strings.Contains(output, tt.output), output)
			assert.Equal(t, code, tt.code, output)
		})
	}
}

// TestStateWatch checks that each dump begins with a cleared screen, and that an error is printed in
// place of the state of a process that cannot be reached.
func TestStateWatch(t *testing.T) {
	tests := map[string]struct {
		address string
		dump    string
		code    int
	}{
		"there": {fakeProcess(t), "kassa-2     ejected", cli.ExitOK},
		"away":  {"127.0.0.1:1", "connection refused", cli.ExitUnreached},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, code := execute(t, "state", "--watch", "--every", "1ms", "--times", "3", test.address)
			assert.Equal(t, code, test.code, out)
			assert.Equal(t, strings.Count(out, "\x1b[2J"), 3)
			assert.Equal(t, strings.Count(out, test.dump), 3)
		})
	}
}
