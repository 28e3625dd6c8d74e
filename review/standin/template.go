package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// gap matches one gap of a template of the deploy file.
var gap = regexp.MustCompile(`\{\{([#^/]?)([^{}|]+)(\|json)?\}\}`)

// scope is what the names in a template refer to: the fields of the settings, and inside a
// section its entry.
type scope struct {
	outer *scope
	value any
	key   string
	last  bool
}

// lookUp returns the value of a name, in the innermost scope that has it.
func (s *scope) lookUp(name string) any {
	if name == "." {
		return s.value
	}
	for at := s; at != nil; at = at.outer {
		if value := field(at.value, strings.Split(name, ".")); value != nil {
			return value
		}
	}
	return nil
}

// field follows a path of keys and numbers.
func field(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// render fills a template as the users' platform does.
func render(text string, s *scope) string {
	var out strings.Builder
	for {
		at := gap.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:at[0]])
		sign, name := text[at[2]:at[3]], text[at[4]:at[5]]
		asJSON := at[6] >= 0
		text = text[at[1]:]
		if sign == "" {
			out.WriteString(s.gapText(name, asJSON))
			continue
		}
		end := "{{/" + name + "}}"
		inside, rest, _ := strings.Cut(text, end)
		text = rest
		for _, entry := range s.entries(name, sign == "^") {
			out.WriteString(render(inside, entry))
		}
	}
}

func (s *scope) gapText(name string, asJSON bool) string {
	switch name {
	case "@":
		return s.key
	case ",":
		if s.last {
			return ""
		}
		return ","
	}
	value := s.lookUp(name)
	if text, ok := value.(string); ok && !asJSON {
		return text
	}
	if value == nil && !asJSON {
		return ""
	}
	text, _ := json.Marshal(value)
	return string(text)
}

// entries returns the scopes for which a section stands.
func (s *scope) entries(name string, inverted bool) []*scope {
	value := s.lookUp(name)
	var list []*scope
	switch v := value.(type) {
	case []any:
		for i, entry := range v {
			list = append(list, &scope{outer: s, value: entry, key: fmt.Sprint(i), last: i == len(v)-1})
		}
	case map[string]any:
		keys := make([]string, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for i, key := range keys {
			list = append(list, &scope{outer: s, value: v[key], key: key, last: i == len(keys)-1})
		}
	case nil:
	case bool:
		if v {
			list = append(list, s)
		}
	default:
		list = append(list, s)
	}
	if !inverted {
		return list
	}
	if len(list) > 0 {
		return nil
	}
	return []*scope{s}
}
