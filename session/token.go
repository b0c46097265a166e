// Package session keeps each session on one version of its model. A caller
// either returns the signed token that it got, which names the version, or sends a
// session ID of its own. In the second case the version is pinned: it is stored at
// two entries chosen by a hash of the organisation, the model and the ID.
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

// ID is a session ID chosen by the caller. It is unique within an organisation
// and model.
type ID string

// ErrToken is returned for a token that is malformed, too long, or not signed
// with this site's key.
var ErrToken = eris.New("session: token is not valid")

// maxTokenBytes is the largest accepted size of a token.
const maxTokenBytes = 1024

// encoding is strict: it rejects text whose unused last bits are not zero, so that
// only one text decodes to given bytes.
var encoding = base64.RawURLEncoding.Strict()

// Claims is the signed content of a token.
type Claims struct {
	Organisation policy.OrganisationID `json:"o"`
	Model        policy.ModelID        `json:"m"`
	Version      policy.VersionID      `json:"v"`
}

// Signer issues and verifies tokens with HMAC-SHA-256 under a key that all
// daemons of the site derive from their shared key.
type Signer struct {
	key []byte
}

// NewSigner returns a signer whose key is derived from the site's shared key.
func NewSigner(sharedKey string) *Signer {
	sum := sha256.Sum256([]byte("session token\x00" + sharedKey))
	return &Signer{key: sum[:]}
}

// Issue returns a signed token with the claims.
func (si *Signer) Issue(cl Claims) (string, error) {
	body, err := json.Marshal(cl)
	if err != nil {
		return "", eris.Wrap(err, "Signer.Issue")
	}
	text := encoding.EncodeToString(body)
	return text + "." + encoding.EncodeToString(si.sign(text)), nil
}

// Check verifies a token and returns its claims. The error wraps ErrToken if the
// token is not valid.
func (si *Signer) Check(token string) (Claims, error) {
	text, mac, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxTokenBytes {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check: want CLAIMS.SIGNATURE within the size limit")
	}
	received, err := encoding.DecodeString(mac)
	if err != nil || !hmac.Equal(received, si.sign(text)) {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check: signature does not match the claims")
	}
	body, err := encoding.DecodeString(text)
	if err != nil {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check: claims are not valid base64")
	}
	var cl Claims
	if json.Unmarshal(body, &cl) != nil {
		return Claims{}, eris.Wrap(ErrToken, "Signer.Check: claims are not valid JSON")
	}
	return cl, nil
}

func (si *Signer) sign(text string) []byte {
	ma := hmac.New(sha256.New, si.key)
	_, _ = ma.Write([]byte(text))
	return ma.Sum(nil)
}
