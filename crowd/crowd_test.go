// Package crowd_test plays clients that nobody controls to router processes. Each test sends one
// kind of client to one of two routers whose memory is small, and checks that the process lives,
// that its memory and descriptors stay under a bound, and that an ordinary request is answered.
// Nothing depends on the machine's speed.
package crowd_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

const (
	// crowdSize is how many connections a crowd has open to one router.
	crowdSize = 300
	// crowdRounds is how often each client of a crowd connects.
	crowdRounds = 3
	// crowdTime is for how long a crowd stays.
	crowdTime = 6 * time.Second
	// headBytes is the size of a large head that is still legal.
	headBytes = 15_000
	// endlessBytes bounds what a client sends that never ends.
	endlessBytes = 32 << 20
)

// sender is what one client of a crowd does on its connection, until that is closed.
type sender func(ctx context.Context, co net.Conn) error

// play sends a crowd to the first router, and checks that it lives, within its bounds, and serves
// an ordinary request while the crowd is there and afterwards.
func play(t *testing.T, send sender) {
	si := newSite(t)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	var sent atomic.Int64
	for range crowdSize {
		wg.Go(func() { attend(ctx, si.callers[0], send, &sent) })
	}
	wg.Wait()
	qt.Check(t, sent.Load() >= crowdSize, qt.IsTrue, qt.Commentf("%d clients have connected and sent", sent.Load()))
	si.awaitAnswer(0)
	si.awaitAnswer(1)
	for n, pr := range si.routers {
		used, open := pr.peaks()
		t.Logf("router %d: at most %d MiB of %d, %d descriptors", n, used/mebibyte, memoryMB, open)
		if !pr.alive() {
			t.Errorf("router %d has ended: %s", n, pr.output())
		}
		qt.Check(t, used > 0 && open > 0, qt.IsTrue, qt.Commentf("router %d was not sampled: %d bytes, %d descriptors", n, used, open))
		qt.Check(t, used <= memoryMB*mebibyte, qt.IsTrue, qt.Commentf("router %d used %d bytes", n, used))
		qt.Check(t, open <= maxDescriptors, qt.IsTrue, qt.Commentf("router %d had %d descriptors open", n, open))
	}
}

// attend connects crowdRounds times, and sends on each connection until it is closed or ctx ends.
// It adds one to sent when it has sent something.
func attend(ctx context.Context, address string, send sender, sent *atomic.Int64) {
	var first sync.Once
	for range crowdRounds {
		co, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		release := context.AfterFunc(ctx, func() { _ = co.Close() })
		cc := &countedConn{TCPConn: co.(*net.TCPConn), sent: sent, first: &first}
		_ = send(ctx, cc)
		release()
		_ = co.Close()
	}
}

// countedConn adds one to sent when the first bytes have been written on it, or on another
// connection of its client.
type countedConn struct {
	*net.TCPConn
	sent  *atomic.Int64
	first *sync.Once
}

// Write implements net.Conn.
func (cc *countedConn) Write(buf []byte) (int, error) {
	n, err := cc.TCPConn.Write(buf)
	if n > 0 {
		cc.first.Do(func() { cc.sent.Add(1) })
	}
	return n, err
}

// head returns the begin of a head with the lines that the router asks for, and which asks for a
// body of some bytes.
func head(method, path string, bodyBytes int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a\r\nKey: %s\r\nDeadline-Remaining: 20000\r\nContent-Length: %d\r\n",
		method, path, testsite.RouteHost, apiKey, bodyBytes)
}

// shortLines returns lines of a head that have some bytes together, all different.
func shortLines(size int) string {
	var sb strings.Builder
	for n := 0; sb.Len() < size; n++ {
		_, _ = fmt.Fprintf(&sb, "%x:\r\n", n)
	}
	return sb.String()
}

// sendAndWait sends a text, and waits until the connection is closed.
func sendAndWait(text string) sender {
	return func(_ context.Context, co net.Conn) error {
		if _, err := io.WriteString(co, text); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, co)
		return err
	}
}

// sendEndlessly sends a first text, and then another one over and over.
func sendEndlessly(first, again string) sender {
	return func(_ context.Context, co net.Conn) error {
		if _, err := io.WriteString(co, first); err != nil {
			return err
		}
		for sent := 0; sent < endlessBytes; sent += len(again) {
			if _, err := io.WriteString(co, again); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestWholeHeadsOfManyShortLines(t *testing.T) {
	play(t, sendAndWait(head("POST", unsafePath, 1000)+shortLines(headBytes)+"\r\n"))
}

func TestWholeHeadsOfOneLineRepeated(t *testing.T) {
	play(t, sendAndWait(head("POST", unsafePath, 1000)+strings.Repeat("a:\r\n", headBytes/4)+"\r\n"))
}

func TestUnfinishedHeadsOfManyShortLines(t *testing.T) {
	play(t, sendAndWait(head("POST", unsafePath, 1000)+shortLines(headBytes)))
}

func TestHeadsWithoutEnd(t *testing.T) {
	play(t, sendEndlessly(head("POST", unsafePath, 1000), shortLines(64<<10)))
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	play(t, sendEndlessly("", strings.Repeat("\r\n", 32<<10)))
}

func TestLongAnswersReadSlowly(t *testing.T) { play(t, readSlowly(safePath+"long")) }

func TestLongStreamsReadSlowly(t *testing.T) { play(t, readSlowly(streamPath)) }

// readSlowly returns a client that asks for a long answer, and reads it slowly.
func readSlowly(path string) sender {
	const (
		windowBytes = 4 << 10
		readBytes   = 1 << 10
		interval    = 500 * time.Millisecond
	)
	return func(ctx context.Context, co net.Conn) error {
		if err := co.(*countedConn).SetReadBuffer(windowBytes); err != nil {
			return err
		}
		if _, err := io.WriteString(co, head("GET", path, 0)+"\r\n"); err != nil {
			return err
		}
		buf := make([]byte, readBytes)
		for ctx.Err() == nil {
			if _, err := co.Read(buf); err != nil {
				return err
			}
			time.Sleep(interval)
		}
		return errors.New("the crowd has ended")
	}
}
