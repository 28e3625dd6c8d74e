package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// fields are the settings of a machine, by the names of the users' pages.
type fields = map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([A-Za-z0-9.@,]+)(\|json)?\}\}`)
)

// fill fills a template of settings as the users' pages describe it, as far as the project's template needs it.
func fill(template string, all fields) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		return fillSection(parts[2], lookUp(all, parts[1]))
	})
	return fillGaps(template, func(name string) any { return lookUp(all, name) })
}

// fillSection repeats a section for each entry of a list or table.
func fillSection(body string, of any) string {
	var out strings.Builder
	each := func(key, value any, last bool) {
		out.WriteString(fillGaps(body, func(name string) any {
			switch name {
			case "@":
				return key
			case ".":
				return value
			case ",":
				if last {
					return ""
				}
				return ","
			}
			return nil
		}))
	}
	switch of := of.(type) {
	case []string:
		for i, value := range of {
			each(i, value, i == len(of)-1)
		}
	case map[string]string:
		var keys []string
		for key := range of {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for i, key := range keys {
			each(key, of[key], i == len(keys)-1)
		}
	}
	return out.String()
}

func fillGaps(text string, value func(name string) any) string {
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string {
		parts := gapPattern.FindStringSubmatch(gap)
		found := value(parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(found)
			return string(encoded)
		}
		if found == nil {
			return ""
		}
		return fmt.Sprint(found)
	})
}

// lookUp returns the value of a name such as Listen.Ready or PortRange.0.
func lookUp(all fields, name string) any {
	var found any = all
	for _, part := range strings.Split(name, ".") {
		switch of := found.(type) {
		case fields:
			found = of[part]
		case map[string]string:
			found = of[part]
		case []int:
			index := int(part[0] - '0')
			if index >= len(of) {
				return nil
			}
			found = of[index]
		default:
			return nil
		}
	}
	return found
}
