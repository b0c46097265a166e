package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"sort"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// wildcardID in a list of allowed ids allows all ids.
const wildcardID = "*"

// Organisation is a customer whose callers use the system.
type Organisation struct {
	ID OrganisationID
	*rpc.Organisation
}

// Defaults sets the share to 1 and allows all ranks if these fields are not set.
func (or Organisation) Defaults() {
	if or.Share == 0 {
		or.Share = 1
	}
	if len(or.AllowedRanks) == 0 {
		or.AllowedRanks = []string{wildcardID}
	}
}

// Validate adds a finding to li for each malformed key hash, for each allowed id
// that does not exist in se, and for a negative share or limit.
func (or Organisation) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	validateKeyHashes(li, at("key_hashes"), or.KeyHashes)
	for _, id := range or.AllowedModels {
		if id != wildcardID && !se.isCallable(id) {
			li.Add(at("allowed_models"), "no model, version or cascade %q", id)
		}
	}
	for _, id := range or.AllowedServices {
		if _, ok := se.Services.ByID(ServiceID(id)); id != wildcardID && !ok {
			li.Add(at("allowed_services"), "no service %q", id)
		}
	}
	for _, id := range or.AllowedRanks {
		if _, ok := se.Ranks.ByID(RankID(id)); id != wildcardID && !ok {
			li.Add(at("allowed_ranks"), "no rank %q", id)
		}
	}
	if !(quantity.Bounds[float64]{Min: 0, Max: math.MaxFloat64}).Contain(or.Share) {
		li.Add(at("share"), "%v is negative or not finite", or.Share)
	}
	if or.MaxInFlight < 0 {
		li.Add(at("max_in_flight"), "%d is negative", or.MaxInFlight)
	}
}

// AllowsVersion reports whether the organisation may use a version: its list of
// allowed models holds the version, the version's model or the wildcard.
func (or Organisation) AllowsVersion(ve Version) bool {
	return allows(or.AllowedModels, string(ve.ID)) || allows(or.AllowedModels, ve.Model)
}

// AllowsCascade reports whether the organisation may request a cascade by name.
func (or Organisation) AllowsCascade(id CascadeID) bool {
	return allows(or.AllowedModels, string(id))
}

// AllowsService reports whether the organisation may call a plain service.
func (or Organisation) AllowsService(id ServiceID) bool {
	return allows(or.AllowedServices, string(id))
}

// AllowsRank reports whether the organisation may request a rank.
func (or Organisation) AllowsRank(id RankID) bool {
	return allows(or.AllowedRanks, string(id))
}

func allows(ids []string, id string) bool {
	return slices.Contains(ids, id) || slices.Contains(ids, wildcardID)
}

// Operator is a person or program that may use the admin listener.
type Operator struct {
	ID OperatorID
	*rpc.Operator
}

// Defaults does nothing. An operator without keys cannot authenticate.
func (op Operator) Defaults() {}

// Validate adds a finding to li for each malformed key hash.
func (op Operator) Validate(li *finding.List, pl finding.Place, _ *Set) {
	validateKeyHashes(li, specPlace(pl)("key_hashes"), op.KeyHashes)
}

// HashKey returns the form in which a caller's or operator's key is stored: its
// SHA-256 hash in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CallerKeys are those keys of an organisation for which its own record has no room.
type CallerKeys struct {
	ID OrganisationID
	*rpc.CallerKeys
}

// digestBytes is the length of a key's digest. 128 bits of a SHA-256 suffice to tell keys
// apart.
const digestBytes = 16

// DigestKeys returns the digests of keys as CallerKeys holds them, each once.
func DigestKeys(keys []string) []byte {
	digests := make([][digestBytes]byte, len(keys))
	for i, key := range keys {
		digests[i] = digestOf(key)
	}
	slices.SortFunc(digests, func(a, b [digestBytes]byte) int { return bytes.Compare(a[:], b[:]) })
	var out []byte
	for _, di := range slices.Compact(digests) {
		out = append(out, di[:]...)
	}
	return out
}

func digestOf(key string) [digestBytes]byte {
	sum := sha256.Sum256([]byte(key))
	return [digestBytes]byte(sum[:digestBytes])
}

// Defaults does nothing.
func (ck CallerKeys) Defaults() {}

// Validate adds a finding to li for digests of the wrong length or order, and for an
// organisation that does not exist in se.
func (ck CallerKeys) Validate(li *finding.List, pl finding.Place, se *Set) {
	if _, ok := se.Organisations.ByID(ck.ID); !ok {
		li.Add(pl, "no organisation %q", ck.ID)
	}
	sorted := slices.IsSortedFunc(slices.Collect(slices.Chunk(ck.KeyDigests, digestBytes)), bytes.Compare)
	if len(ck.KeyDigests)%digestBytes != 0 || !sorted {
		li.Add(specPlace(pl)("key_digests"), "want sorted digests of %d bytes", digestBytes)
	}
}

// Contains reports whether a key is one of the keys.
func (ck CallerKeys) Contains(key string) bool {
	di := digestOf(key)
	at := func(i int) []byte { return ck.KeyDigests[i*digestBytes : (i+1)*digestBytes] }
	n := len(ck.KeyDigests) / digestBytes
	i := sort.Search(n, func(i int) bool { return bytes.Compare(at(i), di[:]) >= 0 })
	return i < n && bytes.Equal(at(i), di[:])
}

func validateKeyHashes(li *finding.List, pl finding.Place, hashes []string) {
	for _, ha := range hashes {
		if raw, err := hex.DecodeString(ha); err != nil || len(raw) != sha256.Size {
			li.Add(pl, "%q is not a SHA-256 in hex", ha)
		}
	}
}

// specPlace returns a function that returns the place of a field of the spec of the
// record at pl.
func specPlace(pl finding.Place) func(key string) finding.Place {
	return func(key string) finding.Place {
		pl.Key = "spec." + key
		return pl
	}
}
