package setting

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
)

// Describe gives an annotated INI file with every section and key of ms, its
// help and its default. docs/SETTINGS.md is made of it.
func Describe(ms proto.Message) string {
	var sb strings.Builder
	fds := ms.ProtoReflect().Descriptor().Fields()
	for i := range fds.Len() {
		se := fds.Get(i)
		fmt.Fprintf(&sb, "[%s]\n", se.Name())
		keys := se.Message().Fields()
		for j := range keys.Len() {
			ru := ruleOf(keys.Get(j))
			fmt.Fprintf(&sb, "; %s", ru.GetHelp())
			if ru.GetRequired() {
				sb.WriteString(" Required.")
			}
			if ru.Min != nil {
				fmt.Fprintf(&sb, " From %v to %v.", ru.GetMin(), ru.GetMax())
			}
			fmt.Fprintf(&sb, "\n%s = %s\n", keys.Get(j).Name(), ru.GetDefault())
		}
		sb.WriteString("\n")
	}
	return sb.String()
}
