// Package setting reads the daemons' INI files into the messages of
// schema/settings.proto. Sections, keys, defaults and bounds come from there.
package setting

import (
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
	"tanagerpoint.example/tanager/rpc"
)

// minSharedKeyLength is in characters.
const minSharedKeyLength = 16

// Load reads a file into ms, a pointer to EntrySettings or StewardSettings.
// The error is a finding.List with every mistake in the file.
func Load(file string, ms proto.Message) error {
	var li finding.List
	fl, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		li.Add(finding.Place{File: file}, "cannot read: %v", err)
		return li
	}
	rd := reader{file: file, ini: fl, list: &li}
	rd.unknownSections(ms.ProtoReflect().Descriptor())
	fds := ms.ProtoReflect().Descriptor().Fields()
	for i := range fds.Len() {
		rd.section(ms.ProtoReflect(), fds.Get(i))
	}
	rd.clashes(ms)
	return li.Err()
}

type reader struct {
	file string
	ini  *ini.File
	list *finding.List
}

func (rd reader) unknownSections(md protoreflect.MessageDescriptor) {
	for _, se := range rd.ini.Sections() {
		if se.Name() == ini.DefaultSection {
			for _, ke := range se.Keys() {
				rd.list.Add(finding.Place{File: rd.file, Key: ke.Name()}, "key stands before any section")
			}
			continue
		}
		if md.Fields().ByName(protoreflect.Name(se.Name())) == nil {
			rd.list.Add(finding.Place{File: rd.file, Section: se.Name()}, "unknown section")
		}
	}
}

func (rd reader) section(ms protoreflect.Message, fd protoreflect.FieldDescriptor) {
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
		rd.key(sub, se, name, fds.Get(i))
	}
}

func (rd reader) key(ms protoreflect.Message, se *ini.Section, section string, fd protoreflect.FieldDescriptor) {
	pl := finding.Place{File: rd.file, Section: section, Key: string(fd.Name())}
	ru := ruleOf(fd)
	text := ru.GetDefault()
	if se != nil && se.HasKey(pl.Key) {
		ke := se.Key(pl.Key)
		if len(ke.ValueWithShadows()) > 1 {
			rd.list.Add(pl, "written more than once")
			return
		}
		text = strings.TrimSpace(ke.String())
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
		rd.list.Add(pl, "%s is outside %v to %v", text, ru.GetMin(), ru.GetMax())
		return
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

// parse gives the value and, for numbers and durations, the number that the
// rule's bounds apply to.
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
		num, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return protoreflect.Value{}, 0, strconv.Quote(text) + " is not a number"
		}
		return protoreflect.ValueOfFloat64(num), num, ""
	case protoreflect.MessageKind:
		du, err := time.ParseDuration(text)
		if err != nil {
			return protoreflect.Value{}, 0, strconv.Quote(text) + " is not a duration such as 500ms or 2s"
		}
		return protoreflect.ValueOfMessage(durationpb.New(du).ProtoReflect()), du.Seconds(), ""
	default:
		return protoreflect.Value{}, 0, "a key of this kind is not supported"
	}
}

func ruleOf(fd protoreflect.FieldDescriptor) *rpc.Rule {
	ru, ok := proto.GetExtension(fd.Options(), rpc.E_Rule).(*rpc.Rule)
	if !ok {
		return &rpc.Rule{}
	}
	return ru
}

// clashes finds values that are well formed but cannot stand, by themselves or
// together. What is missing, or not well formed, has its finding already.
func (rd reader) clashes(ms proto.Message) {
	if se, ok := ms.(interface{ GetListen() *rpc.ListenSection }); ok {
		rd.listeners(se.GetListen().ProtoReflect())
	}
	if se, ok := ms.(interface {
		GetListen() *rpc.RouterListenSection
	}); ok {
		rd.listeners(se.GetListen().ProtoReflect())
	}
	if se, ok := ms.(interface{ GetStore() *rpc.StoreSection }); ok {
		for _, ur := range se.GetStore().GetUrls() {
			rd.url("store", "urls", ur)
		}
	}
	if se, ok := ms.(interface{ GetPlatform() *rpc.PlatformSection }); ok {
		rd.platform(se.GetPlatform())
	}
	if se, ok := ms.(interface{ GetPeers() *rpc.PeersSection }); ok {
		rd.peers(se.GetPeers())
	}
	if se, ok := ms.(interface{ GetLog() *rpc.LogSection }); ok {
		rd.log(se.GetLog())
	}
	es, ok := ms.(*rpc.EntrySettings)
	if ok && es.GetServing().GetIsolatedAfter() != nil && es.GetServing().GetIsolatedAfter().AsDuration() <= es.GetPeers().GetFailedAfter().AsDuration() {
		rd.add("serving", "isolated_after", "not longer than peers failed_after")
	}
}

func (rd reader) peers(ps *rpc.PeersSection) {
	if ke := ps.GetSharedKey(); ke != "" && len(ke) < minSharedKeyLength {
		rd.add("peers", "shared_key", "shorter than %d characters", minSharedKeyLength)
	}
	if ps.GetFailedAfter() != nil && ps.GetFailedAfter().AsDuration() < 2*ps.GetInterval().AsDuration() {
		rd.add("peers", "failed_after", "shorter than two exchange intervals")
	}
}

func (rd reader) log(ls *rpc.LogSection) {
	if fo := ls.GetFormat(); fo != "" && fo != "text" && fo != "json" {
		rd.add("log", "format", "%q is neither text nor json", fo)
	}
	switch ls.GetLevel() {
	case "", "debug", "info", "warning", "error":
	default:
		rd.add("log", "level", "%q is none of debug, info, warning, error", ls.GetLevel())
	}
}

// listeners finds addresses that are not IP:port, or that two listeners share.
// An address that callers are told to use may be that of a listener.
func (rd reader) listeners(ls protoreflect.Message) {
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

// publicAddressKey is the key of section listen that names no listener.
const publicAddressKey = "callers_public"

func (rd reader) platform(pl *rpc.PlatformSection) {
	for _, ur := range [...]struct{ key, text string }{
		{"vm_list_url", pl.GetVmListUrl()}, {"rating_url", pl.GetRatingUrl()}, {"weights_url", pl.GetWeightsUrl()},
	} {
		if ur.text != "" {
			rd.url("platform", ur.key, ur.text)
		}
	}
}

func (rd reader) url(section, key, text string) {
	ur, err := url.Parse(text)
	if err != nil || ur.Scheme != "http" && ur.Scheme != "https" || ur.Host == "" {
		rd.add(section, key, "%q is not an http or https URL", text)
	}
}

func (rd reader) add(section, key, format string, args ...any) {
	rd.list.Add(finding.Place{File: rd.file, Section: section, Key: key}, format, args...)
}
