// Package config decodes, validates and orders settings.
//
// A settings file is accepted or rejected as a whole. It is decoded into the types generated
// from api/, all checks run, and all findings are reported together with their positions. A
// file with a finding is rejected, and the settings in force stay in force. Accepted files are
// ordered by the platform's revision and then by digest, so that all processes that received
// the same files end up with the same one, and none returns to an older one.
package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"buf.build/go/protoyaml"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"

	"slatewind.example/slatewind/api/slatewindv1"
)

// MaxFileBytes is the largest settings file, the largest value that the platform stores.
const MaxFileBytes = 1 << 20

// decodeError matches one error of the YAML decoder, of the form file:line:column message.
var decodeError = regexp.MustCompile(`(?m)^(?:.*):(\d+):(\d+) (.*)$`)

// syntaxError matches an error of the YAML parser, which states only the line.
var syntaxError = regexp.MustCompile(`line (\d+): (.*)`)

// ParseFleet decodes and checks the text of the operators' file and sets the defaults; file is
// its name in the findings. The error, if any, is of type Findings.
func ParseFleet(file string, text []byte) (*slatewindv1.Fleet, error) {
	fleet := &slatewindv1.Fleet{}
	document, findings := decode(file, text, fleet)
	if document != nil {
		findings = append(findings, withoutUndecoded(checkFleet(file, document, fleet), findings)...)
	}
	if err := asError(findings); err != nil {
		return nil, err
	}
	setFleetDefaults(fleet)
	return fleet, nil
}

// LoadProcess reads, decodes and checks the settings file of one process. The error is of type
// Findings unless the file cannot be read.
func LoadProcess(file string) (*slatewindv1.Process, error) {
	process, _, err := loadProcess(file)
	return process, err
}

// loadProcess is LoadProcess that also returns the text of the file.
func loadProcess(file string) (*slatewindv1.Process, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	process, err := ParseProcess(file, text)
	return process, text, err
}

const (
	// settleInterval is the time between two reads of a settings file that may still be being written, and
	// settleTime the time after which one that has not changed is taken for complete.
	settleInterval = 50 * time.Millisecond
	settleTime     = time.Second
)

// AwaitProcess is LoadProcess for a process that starts, whose settings may still be being written: a file that is
// missing or has findings is read again until it has not changed for settleTime, or until ctx ends.
func AwaitProcess(ctx context.Context, file string) (*slatewindv1.Process, error) {
	process, text, err := loadProcess(file)
	for since := time.Now(); err != nil && isRegular(file) && time.Since(since) < settleTime; {
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return nil, err
		}
		before := text
		if process, text, err = loadProcess(file); !bytes.Equal(text, before) {
			since = time.Now()
		}
	}
	return process, err
}

// isRegular reports whether a file is missing or a regular one. Others, such as named pipes, can be read only once.
func isRegular(file string) bool {
	info, err := os.Stat(file)
	return err != nil || info.Mode().IsRegular()
}

// ParseProcess decodes and checks the text of a process's settings and sets the defaults; file is
// its name in the findings. The error, if any, is of type Findings.
func ParseProcess(file string, text []byte) (*slatewindv1.Process, error) {
	process := &slatewindv1.Process{}
	document, findings := decode(file, text, process)
	if document != nil {
		findings = append(findings, withoutUndecoded(checkProcess(file, document, process), findings)...)
	}
	if err := asError(findings); err != nil {
		return nil, err
	}
	setProcessDefaults(process)
	return process, nil
}

// withoutUndecoded removes the findings at positions where decoding failed. The values there
// were not decoded, so findings of further checks would be misleading.
func withoutUndecoded(findings, decoding Findings) Findings {
	var kept Findings
	for _, f := range findings {
		if !slices.ContainsFunc(decoding, func(d Finding) bool { return d.Line == f.Line && d.Column == f.Column }) {
			kept = append(kept, f)
		}
	}
	return kept
}

// asError sorts findings by position. It returns nil if there are none.
func asError(findings Findings) error {
	if len(findings) == 0 {
		return nil
	}
	sort.SliceStable(findings, func(i, j int) bool {
		if findings[i].Line != findings[j].Line {
			return findings[i].Line < findings[j].Line
		}
		return findings[i].Column < findings[j].Column
	})
	return findings
}

// decode decodes text into message. It returns the YAML document for further checks, or nil if
// text is too large or not one YAML document.
func decode(file string, text []byte, message proto.Message) (*yaml.Node, Findings) {
	if len(text) > MaxFileBytes {
		return nil, Findings{{file, 1, 1, "SW1001", fmt.Sprintf("file has %d bytes, the platform holds at most %d", len(text), MaxFileBytes)}}
	}
	document, findings := readDocument(file, text)
	if document == nil {
		return nil, findings
	}
	findings = append(findings, duplicateKeys(file, document)...)
	err := protoyaml.UnmarshalOptions{Path: file}.Unmarshal(text, message)
	if err == nil {
		return document, findings
	}
	for _, match := range decodeError.FindAllStringSubmatch(err.Error(), -1) {
		line, _ := strconv.Atoi(match[1])
		column, _ := strconv.Atoi(match[2])
		findings = append(findings, Finding{file, line, column, "SW1002", match[3]})
	}
	if len(findings) == 0 {
		findings = append(findings, Finding{file, 1, 1, "SW1002", err.Error()})
	}
	return document, findings
}

// readDocument parses text as exactly one YAML document.
func readDocument(file string, text []byte) (*yaml.Node, Findings) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	document := &yaml.Node{}
	err := decoder.Decode(document)
	if errors.Is(err, io.EOF) {
		return nil, Findings{{file, 1, 1, "SW1001", "file is empty"}}
	}
	if err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	var second yaml.Node
	err = decoder.Decode(&second)
	switch {
	case errors.Is(err, io.EOF):
		return document, nil
	case err != nil:
		return nil, Findings{syntaxFinding(file, err)}
	default:
		return nil, Findings{{file, second.Line, second.Column, "SW1001", "file holds a second YAML document, which would be ignored"}}
	}
}

func syntaxFinding(file string, err error) Finding {
	line := 1
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxError.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	return Finding{file, line, 1, "SW1001", message}
}

// duplicateKeys reports fields that occur twice in one mapping. The decoder would silently
// keep the last.
func duplicateKeys(file string, n *yaml.Node) Findings {
	var findings Findings
	if n.Kind == yaml.MappingNode {
		seen := map[string]int{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			if line, ok := seen[key.Value]; ok {
				message := fmt.Sprintf("field %q is defined twice, first in line %d", key.Value, line)
				findings = append(findings, Finding{file, key.Line, key.Column, "SW1003", message})
			}
			seen[key.Value] = key.Line
		}
	}
	for _, child := range n.Content {
		findings = append(findings, duplicateKeys(file, child)...)
	}
	return findings
}

// nodeAt returns the node at a path such as services[2].floor. If the path does not exist in
// the file, it returns the last node on the path that does.
func nodeAt(document *yaml.Node, path ...any) *yaml.Node {
	n := document
	if n.Kind == yaml.DocumentNode {
		n = n.Content[0]
	}
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

// child returns the value at an index or a field name, or nil if there is none.
func child(n *yaml.Node, step any) *yaml.Node {
	switch s := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && s < len(n.Content) {
			return n.Content[s]
		}
	case string:
		for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == s {
				return n.Content[i+1]
			}
		}
	}
	return nil
}
