package main

import (
	"regexp"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills the template of a router's settings in as the platform does: as far as
// deploy/router.ini needs it, which has values, and sections that show a value if there is one.
func render(template string, values map[string]string) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		parts := sectionPattern.FindStringSubmatch(text)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return valuePattern.ReplaceAllStringFunc(out, func(text string) string {
		return values[valuePattern.FindStringSubmatch(text)[1]]
	})
}
