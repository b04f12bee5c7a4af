package retained

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

// TestConcurrentReservationsStayWithinLimit: concurrent reservations never exceed the limit, and
// released bytes can be reserved again.
func TestConcurrentReservationsStayWithinLimit(t *testing.T) {
	const limit, each = 1000, 70
	account := NewAccount(limit)
	var holders sync.WaitGroup
	for range 50 {
		holders.Go(func() {
			for range 200 {
				hold := NewHold(account)
				if hold.Grow(each) && account.Used() > limit+50*each {
					t.Error("account counts more than the limit plus the pending reservations")
				}
				hold.Release()
			}
		})
	}
	holders.Wait()
	if account.Used() != 0 || account.Peak() > limit {
		t.Fatalf("%d bytes in use at the end, want 0; peak of %d bytes", account.Used(), account.Peak())
	}
	if !account.Reserve(limit) || account.Reserve(1) || account.Refused() == 0 {
		t.Fatal("the whole limit can't be reserved, or more than it")
	}
}

// TestNilAccountRefusesNothing: a nil account counts nothing and refuses nothing.
func TestNilAccountRefusesNothing(t *testing.T) {
	hold := NewHold(nil)
	data, whole, err := hold.ReadAll(strings.NewReader("body"), 4)
	if string(data) != "body" || !whole || err != nil {
		t.Fatalf("data %q, complete %v, error %v", data, whole, err)
	}
	hold.Release()
}

// TestReadAllReadsAnyLengthAndChunking: bodies of all lengths are read completely, with a right,
// wrong or unknown stated length and in chunks of any size.
func TestReadAllReadsAnyLengthAndChunking(t *testing.T) {
	for _, length := range []int{0, 1, initialBytesUnknownLength - 1, initialBytesUnknownLength, initialBytesUnknownLength + 1, initialBytes, initialBytes + 1, 10 * initialBytes} {
		body := bytes.Repeat([]byte("b"), length)
		for _, stated := range []int64{-1, int64(length), int64(length) / 2, int64(length) * 2} {
			for _, reader := range []io.Reader{bytes.NewReader(body), iotest.DataErrReader(bytes.NewReader(body)), iotest.HalfReader(bytes.NewReader(body))} {
				account := NewAccount(0)
				hold := NewHold(account)
				data, whole, err := hold.ReadAll(reader, stated)
				if !bytes.Equal(data, body) || !whole || err != nil {
					t.Fatalf("%d bytes stated as %d: read %d, complete %v, error %v", length, stated, len(data), whole, err)
				}
				// The extra byte for the end of the body must not be counted at each growth.
				if stated == int64(length) && (hold.Bytes() > stated || hold.Bytes() < stated-8) {
					t.Fatalf("%d bytes read, %d reserved", length, hold.Bytes())
				}
				hold.Release()
				if account.Used() != 0 {
					t.Fatalf("%d bytes in use after the release", account.Used())
				}
			}
		}
	}
}

// TestStatedLengthAloneReservesLittle: a caller that states a long body and sends nothing reserves
// little memory.
func TestStatedLengthAloneReservesLittle(t *testing.T) {
	failure := errors.New("cut")
	hold := NewHold(NewAccount(0))
	if _, _, err := hold.ReadAll(iotest.ErrReader(failure), 1<<30); !errors.Is(err, failure) || hold.Bytes() > initialBytes {
		t.Fatalf("error %v, %d bytes reserved", err, hold.Bytes())
	}
}

// TestReadAllReturnsPartialBodyWhenFull: if the account is full, ReadAll returns what it has read,
// and the rest of the body can be read after it.
func TestReadAllReturnsPartialBodyWhenFull(t *testing.T) {
	body := strings.Repeat("0123456789", 20000)
	reader := strings.NewReader(body)
	hold := NewHold(NewAccount(100 << 10))
	data, whole, err := hold.ReadAll(reader, int64(len(body)))
	rest, _ := io.ReadAll(reader)
	if whole || err != nil || string(data)+string(rest) != body {
		t.Fatalf("%d bytes read and %d left, complete %v, error %v", len(data), len(rest), whole, err)
	}
}
