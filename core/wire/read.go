package wire

import (
	"bytes"
	"errors"
	"io"
)

// Sizes of the pieces in which ReadAll reads.
const (
	minPieceBytes = 512
	maxPieceBytes = 32 << 10
)

// ReadAll is io.ReadAll with less memory: at most twice what r has delivered, and one piece.
// The pieces grow with what has arrived.
func ReadAll(r io.Reader) ([]byte, error) {
	var pieces [][]byte
	piece := make([]byte, 0, minPieceBytes)
	for {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		switch {
		case errors.Is(err, io.EOF) && len(pieces) == 0:
			return piece, nil
		case errors.Is(err, io.EOF):
			return bytes.Join(append(pieces, piece), nil), nil
		case err != nil:
			return nil, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), maxPieceBytes))
		}
	}
}

// Costs of a decoded JSON value, in bytes. A list that grows is copied, and holds at most
// two and a quarter times its size meanwhile.
const (
	objectCost = 512
	valueCost  = 56
)

// DecodedBytes returns an upper bound of the memory that decoding the JSON text b into one of
// the messages takes, in bytes. A short text may have many elements, each of which takes the
// space of all its fields. The message has at most maxObjects objects, however many the text
// has.
func DecodedBytes(b []byte, maxObjects int) int64 {
	objects, values := min(maxObjects, bytes.Count(b, []byte("{"))), bytes.Count(b, []byte(","))
	return int64(objects)*objectCost + int64(values)*valueCost + int64(len(b))
}
