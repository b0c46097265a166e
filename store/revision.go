package store

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Era counts how often the store has come back from an older copy of itself. A copy
// lacks the newest changes, and the store gives their numbers out again. 0 if the store
// does not tell.
type Era int64

// Revision is a position in the store's history: the number of a change, which increases
// with every change, and the era in which the store gave it out. Revisions are ordered by
// era and then by number, so that all of a later era are greater than those of an earlier
// one.
type Revision int64

// numberBits is the size of a revision's number. The era has the bits above it.
const numberBits = 44

const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision of a change. It fails if the era or the number is
// negative or does not fit.
func NewRevision(era Era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, eris.Errorf("store: era %d, number %d: want 0 to %d and 0 to %d", era, number, maxEra, int64(maxNumber))
	}
	return Revision(int64(era)<<numberBits | number), nil
}

// Era returns the era in which the store gave the revision out.
func (re Revision) Era() Era { return Era(re >> numberBits) }

// Number returns the number of the change in its era.
func (re Revision) Number() int64 { return int64(re & maxNumber) }

// String returns ERA.NUMBER, or only the number in era 0.
func (re Revision) String() string {
	if re.Era() == 0 {
		return strconv.FormatInt(re.Number(), 10)
	}
	return strconv.FormatInt(int64(re.Era()), 10) + "." + strconv.FormatInt(re.Number(), 10)
}

// MarshalJSON returns a JSON number in era 0, and String as a JSON string in others.
func (re Revision) MarshalJSON() ([]byte, error) {
	if re.Era() == 0 {
		return []byte(re.String()), nil
	}
	return json.Marshal(re.String())
}

// UnmarshalJSON reads what MarshalJSON returns.
func (re *Revision) UnmarshalJSON(text []byte) error {
	era, number, found := strings.Cut(strings.Trim(string(text), `"`), ".")
	if !found {
		era, number = "0", era
	}
	er, err := strconv.ParseInt(era, 10, 64)
	if err != nil {
		return eris.Wrap(err, "Revision.UnmarshalJSON")
	}
	nu, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return eris.Wrap(err, "Revision.UnmarshalJSON")
	}
	*re, err = NewRevision(Era(er), nu)
	return err
}
