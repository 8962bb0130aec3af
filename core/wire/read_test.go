package wire

import (
	"bytes"
	"errors"
	"io"
	"math"
	"testing"
	"testing/iotest"

	"rosemarygap/core/status"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReadAllReturnsWhatTheReaderDelivers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 10_000).Draw(t, "size"))
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "half") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "early-eof") {
			r = iotest.DataErrReader(r)
		}
		got, err := ReadAll(r)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d bytes instead of %d: %v", len(got), len(want), err)
		}
	})
}

// capReader records how much more its reader offers room for than it has delivered.
type capReader struct {
	io.Reader
	read, maxAhead int
}

func (r *capReader) Read(b []byte) (int, error) {
	r.maxAhead = max(r.maxAhead, len(b)-max(r.read, minPieceBytes))
	n, err := r.Reader.Read(b)
	r.read += n
	return n, err
}

// A client that announces much and sends little must not make the server allocate much.
func TestReadAllAllocatesNoMoreThanHasArrived(t *testing.T) {
	is := is.New(t)
	r := &capReader{Reader: iotest.OneByteReader(bytes.NewReader(make([]byte, 300<<10)))}
	b, err := ReadAll(r)
	is.NoErr(err)
	is.Equal(len(b), 300<<10)
	is.True(r.maxAhead <= minPieceBytes)
}

// A coded error of a reader reaches the caller; others mean that the body is malformed.
func TestReadBodyKeepsCodedErrors(t *testing.T) {
	is := is.New(t)
	_, err := ReadBody(iotest.ErrReader(status.ErrOverloaded), 100)
	is.True(errors.Is(err, status.ErrOverloaded))
	_, err = ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 100)
	is.True(errors.Is(err, status.ErrMalformedJSON))
}

func TestDecodedBytesCountsElements(t *testing.T) {
	is := is.New(t)
	is.True(DecodedBytes([]byte(`[{},{},{}]`), math.MaxInt) >= 3*objectCost)
	is.True(DecodedBytes([]byte(`[{},{},{}]`), 1) < 2*objectCost)
	is.True(DecodedBytes([]byte(`[1,2,3,4]`), 0) >= 3*valueCost)
}
