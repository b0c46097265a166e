package session_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/session"
)

// TestCheckAcceptsOnlyIssuedTokens checks that a token passes with the key that
// signed it, and fails with another key or when it is truncated or extended.
func TestCheckAcceptsOnlyIssuedTokens(t *testing.T) {
	si := session.NewSigner("a shared key")
	want := session.Claims{Organisation: "survey", Model: "m", Version: "m-1"}
	token, err := si.Issue(want)
	qt.Assert(t, err, qt.IsNil)
	got, err := si.Check(token)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, want)
	for _, bad := range []string{"", ".", token + "x", "x" + token, token[:len(token)-2]} {
		_, err := si.Check(bad)
		qt.Assert(t, err, qt.ErrorIs, session.ErrToken, qt.Commentf("%q", bad))
	}
	_, err = session.NewSigner("another key").Check(token)
	qt.Assert(t, err, qt.ErrorIs, session.ErrToken)
}

// FuzzToken checks that no text other than the issued token passes, such as one
// that differs only in the unused last bits of its base64 form.
func FuzzToken(f *testing.F) {
	si := session.NewSigner("a shared key")
	token, err := si.Issue(session.Claims{Organisation: "survey"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(token)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := si.Check(text); err == nil && text != token {
			t.Fatalf("Check accepted forged token %q", text)
		}
	})
}
