package setting

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
)

// Describe returns an INI file with every section and key of ms, each key with its
// default and, as a comment, its help and bounds. docs/SETTINGS.md contains this
// text for every daemon.
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
			if ru.GetBounded() {
				sb.WriteString(" A number beyond counts as the bound.")
			}
			fmt.Fprintf(&sb, "\n%s = %s\n", keys.Get(j).Name(), ru.GetDefault())
		}
		sb.WriteString("\n")
	}
	return sb.String()
}
