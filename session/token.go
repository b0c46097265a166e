// Package session keeps a session on its version. A caller either gives back
// a signed token that names the version, or gives an id of its own, whose
// version is pinned at two entries chosen by the id.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/policy"
)

// ID names a session within its organisation and model.
type ID string

// ErrToken marks a token that this site did not issue.
var ErrToken = eris.New("session: token is not valid")

// maxTokenBytes bounds a token.
const maxTokenBytes = 1024

// encoding refuses texts that differ only in bits that decode to nothing, so
// that a token has one form.
var encoding = base64.RawURLEncoding.Strict()

// Claims are what a token says.
type Claims struct {
	Organisation policy.OrganisationID `json:"o"`
	Model        policy.ModelID        `json:"m"`
	Version      policy.VersionID      `json:"v"`
}

// Signer issues and checks tokens with a key that the site's daemons share.
type Signer struct {
	key []byte
}

// NewSigner gives a signer.
func NewSigner(sharedKey string) *Signer {
	sum := sha256.Sum256([]byte("session token\x00" + sharedKey))
	return &Signer{key: sum[:]}
}

// Issue gives the token for a session.
func (si *Signer) Issue(cl Claims) (string, error) {
	body, err := json.Marshal(cl)
	if err != nil {
		return "", eris.Wrap(err, "Signer.Issue")
	}
	text := encoding.EncodeToString(body)
	return text + "." + encoding.EncodeToString(si.sign(text)), nil
}

// Check gives what a token says, or ErrToken.
func (si *Signer) Check(token string) (Claims, error) {
	text, mac, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxTokenBytes {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check")
	}
	received, err := encoding.DecodeString(mac)
	if err != nil || !hmac.Equal(received, si.sign(text)) {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check")
	}
	body, err := encoding.DecodeString(text)
	if err != nil {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check")
	}
	var cl Claims
	if json.Unmarshal(body, &cl) != nil {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check")
	}
	return cl, nil
}

func (si *Signer) sign(text string) []byte {
	ma := hmac.New(sha256.New, si.key)
	_, _ = ma.Write([]byte(text))
	return ma.Sum(nil)
}
