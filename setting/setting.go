// Package setting loads the daemons' INI files into the messages of
// schema/settings.proto, which defines the sections, keys, defaults and bounds.
package setting

import (
	"math"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gopkg.in/ini.v1"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// minSharedKeyLength is the minimum length of the peers' shared key, in bytes.
// Messages to operators call them characters.
const minSharedKeyLength = 16

// Load reads a file into ms, a pointer to the settings message of a daemon, such as
// EntrySettings, and sets the default of each key that the file leaves out. The
// error is a finding.List with all mistakes in the file.
func Load(file string, ms proto.Message) error {
	var li finding.List
	// With AllowShadows, all values of a repeated key are kept; readKey reports them.
	fl, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		li.Add(finding.Place{File: file}, "cannot read: %v", err)
		return li
	}
	rd := reader{file: file, ini: fl, list: &li}
	rd.checkSections(ms.ProtoReflect().Descriptor())
	fds := ms.ProtoReflect().Descriptor().Fields()
	for i := range fds.Len() {
		rd.readSection(ms.ProtoReflect(), fds.Get(i))
	}
	rd.checkValues(ms)
	return li.Err()
}

// reader reads one settings file and adds the mistakes in it to list.
type reader struct {
	file string
	ini  *ini.File
	list *finding.List
}

// checkSections finds sections that md does not have, and keys outside any section.
func (rd reader) checkSections(md protoreflect.MessageDescriptor) {
	for _, se := range rd.ini.Sections() {
		if se.Name() == ini.DefaultSection {
			for _, ke := range se.Keys() {
				rd.list.Add(finding.Place{File: rd.file, Key: ke.Name()}, "key is set before the first section")
			}
			continue
		}
		if md.Fields().ByName(protoreflect.Name(se.Name())) == nil {
			rd.list.Add(finding.Place{File: rd.file, Section: se.Name()}, "unknown section")
		}
	}
}

// readSection reads the section for field fd of ms. A section that the file does not
// have gets the defaults of its keys.
func (rd reader) readSection(ms protoreflect.Message, fd protoreflect.FieldDescriptor) {
	name := string(fd.Name())
	sub := ms.Mutable(fd).Message()
	se, _ := rd.ini.GetSection(name)
	if se != nil {
		for _, ke := range se.Keys() {
			if fd.Message().Fields().ByName(protoreflect.Name(ke.Name())) == nil {
				rd.list.Add(finding.Place{File: rd.file, Section: name, Key: ke.Name()}, "unknown key")
			}
		}
	}
	fds := fd.Message().Fields()
	for i := range fds.Len() {
		rd.readKey(sub, se, name, fds.Get(i))
	}
}

// readKey sets field fd of ms to the key's value in se, or to its default. se is nil
// if the file does not have the section.
func (rd reader) readKey(ms protoreflect.Message, se *ini.Section, section string, fd protoreflect.FieldDescriptor) {
	pl := finding.Place{File: rd.file, Section: section, Key: string(fd.Name())}
	ru := ruleOf(fd)
	text := ru.GetDefault()
	if se != nil && se.HasKey(pl.Key) {
		ke := se.Key(pl.Key)
		if len(ke.ValueWithShadows()) > 1 {
			rd.list.Add(pl, "set more than once")
			return
		}
		// The platform leaves what it has no value for empty.
		if value := strings.TrimSpace(ke.String()); value != "" || fd.Kind() == protoreflect.StringKind {
			text = value
		}
	}
	if text == "" {
		if ru.GetRequired() {
			rd.list.Add(pl, "missing: %s", ru.GetHelp())
		}
		return
	}
	va, num, problem := parse(fd, text)
	if problem != "" {
		rd.list.Add(pl, "%s", problem)
		return
	}
	if ru.Min != nil && num < ru.GetMin() || ru.Max != nil && num > ru.GetMax() {
		if !ru.GetBounded() {
			rd.list.Add(pl, "%s is outside %v to %v", text, ru.GetMin(), ru.GetMax())
			return
		}
		va = valueOf(fd, quantity.Bounds[float64]{Min: ru.GetMin(), Max: ru.GetMax()}.Clamp(num))
	}
	if fd.IsList() {
		ls := ms.Mutable(fd).List()
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				ls.Append(protoreflect.ValueOfString(part))
			}
		}
		return
	}
	ms.Set(fd, va)
}

// parse returns the value of text, the number to which the rule's bounds apply (in
// seconds for a duration, 0 for a string), and a message if text is malformed.
func parse(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, float64, string) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), 0, ""
	case protoreflect.Int64Kind:
		num, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, 0, strconv.Quote(text) + " is not a whole number"
		}
		return protoreflect.ValueOfInt64(num), float64(num), ""
	case protoreflect.DoubleKind:
		num, err := anyReal.Parse(text)
		if err != nil {
			return protoreflect.Value{}, 0, strconv.Quote(text) + " is not a number"
		}
		return protoreflect.ValueOfFloat64(num), num, ""
	case protoreflect.MessageKind:
		du, err := parseDuration(text)
		if err != nil {
			return protoreflect.Value{}, 0, strconv.Quote(text) + " is not a duration such as 500ms or 2s"
		}
		return protoreflect.ValueOfMessage(durationpb.New(du).ProtoReflect()), du.Seconds(), ""
	default:
		return protoreflect.Value{}, 0, "key has an unsupported type in schema/settings.proto: want string, int64, double or Duration"
	}
}

// anyReal are the bounds of all numbers.
var anyReal = quantity.Bounds[float64]{Min: -math.MaxFloat64, Max: math.MaxFloat64}

// parseDuration returns a duration as time.ParseDuration does, or of any number of seconds.
func parseDuration(text string) (time.Duration, error) {
	du, err := time.ParseDuration(text)
	if err == nil {
		return du, nil
	}
	number, ok := strings.CutSuffix(text, "s")
	seconds, notReal := anyReal.Parse(number)
	if !ok || notReal != nil || seconds < 0 {
		return 0, err
	}
	return quantity.Seconds(seconds), nil
}

// valueOf returns the value of a number, in seconds for a duration.
func valueOf(fd protoreflect.FieldDescriptor, num float64) protoreflect.Value {
	switch fd.Kind() {
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(quantity.Bounds[int64]{Min: math.MinInt64, Max: math.MaxInt64}.Of(num))
	case protoreflect.MessageKind:
		return protoreflect.ValueOfMessage(durationpb.New(quantity.Seconds(num)).ProtoReflect())
	default:
		return protoreflect.ValueOfFloat64(num)
	}
}

// ruleOf returns the rule of a key from schema/settings.proto, or an empty one.
func ruleOf(fd protoreflect.FieldDescriptor) *rpc.Rule {
	ru, ok := proto.GetExtension(fd.Options(), rpc.E_Rule).(*rpc.Rule)
	if !ok {
		return &rpc.Rule{}
	}
	return ru
}

// checkValues finds values that parse but are invalid, by themselves or in
// combination with others. Each daemon's settings have only some of the sections, so
// it asserts the getter of each. It skips empty values, since readKey has reported
// missing and malformed ones.
func (rd reader) checkValues(ms proto.Message) {
	if se, ok := ms.(interface{ GetListen() *rpc.ListenSection }); ok {
		rd.checkListeners(se.GetListen().ProtoReflect())
	}
	if se, ok := ms.(interface {
		GetListen() *rpc.RouterListenSection
	}); ok {
		rd.checkListeners(se.GetListen().ProtoReflect())
	}
	if se, ok := ms.(interface{ GetStore() *rpc.StoreSection }); ok {
		for _, ur := range se.GetStore().GetUrls() {
			rd.checkURL("store", "urls", ur)
		}
	}
	if se, ok := ms.(interface{ GetPlatform() *rpc.PlatformSection }); ok {
		rd.checkPlatform(se.GetPlatform())
	}
	if se, ok := ms.(interface{ GetPeers() *rpc.PeersSection }); ok {
		rd.checkPeers(se.GetPeers())
	}
	if se, ok := ms.(interface{ GetLog() *rpc.LogSection }); ok {
		rd.checkLog(se.GetLog())
	}
	es, ok := ms.(*rpc.EntrySettings)
	if ok && es.GetServing().GetIsolatedAfter() != nil && es.GetServing().GetIsolatedAfter().AsDuration() <= es.GetPeers().GetFailedAfter().AsDuration() {
		rd.add("serving", "isolated_after", "must be longer than failed_after in section peers")
	}
}

func (rd reader) checkPeers(ps *rpc.PeersSection) {
	if ke := ps.GetSharedKey(); ke != "" && len(ke) < minSharedKeyLength {
		rd.add("peers", "shared_key", "shorter than %d characters", minSharedKeyLength)
	}
	if ps.GetFailedAfter() != nil && ps.GetFailedAfter().AsDuration() < 2*ps.GetInterval().AsDuration() {
		rd.add("peers", "failed_after", "must be at least twice the exchange interval")
	}
}

func (rd reader) checkLog(ls *rpc.LogSection) {
	if fo := ls.GetFormat(); fo != "" && fo != "text" && fo != "json" {
		rd.add("log", "format", "%q is not a format: want text or json", fo)
	}
	switch ls.GetLevel() {
	case "", "debug", "info", "warning", "error":
	default:
		rd.add("log", "level", "%q is not a level: want debug, info, warning or error", ls.GetLevel())
	}
}

// checkListeners finds addresses that are not IP:port or that two listeners share.
// callers_public is the address that callers are told to use. It may equal that of a
// listener, so it is not checked.
func (rd reader) checkListeners(ls protoreflect.Message) {
	seen := map[string]string{}
	fds := ls.Descriptor().Fields()
	for i := range fds.Len() {
		key, text := string(fds.Get(i).Name()), ls.Get(fds.Get(i)).String()
		if text == "" || key == publicAddressKey {
			continue
		}
		host, _, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			rd.add("listen", key, "%q is not IP:port", text)
		}
		if other, ok := seen[text]; ok {
			rd.add("listen", key, "same address as %s", other)
		}
		seen[text] = key
	}
}

// publicAddressKey is the only key of section listen that is not the address of a
// listener.
const publicAddressKey = "callers_public"

func (rd reader) checkPlatform(pl *rpc.PlatformSection) {
	for _, ur := range [...]struct{ key, text string }{
		{"vm_list_url", pl.GetVmListUrl()}, {"rating_url", pl.GetRatingUrl()}, {"weights_url", pl.GetWeightsUrl()},
	} {
		if ur.text != "" {
			rd.checkURL("platform", ur.key, ur.text)
		}
	}
}

func (rd reader) checkURL(section, key, text string) {
	ur, err := url.Parse(text)
	if err != nil || ur.Scheme != "http" && ur.Scheme != "https" || ur.Host == "" {
		rd.add(section, key, "%q is not an http or https URL", text)
	}
}

// add adds a finding about a key of a section.
func (rd reader) add(section, key, format string, args ...any) {
	rd.list.Add(finding.Place{File: rd.file, Section: section, Key: key}, format, args...)
}
