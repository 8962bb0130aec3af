package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
)

// Sizes of what the clients send.
const (
	// legalHeaderBytes is within the limit of the headers of a request.
	legalHeaderBytes = 12 << 10
	// illegalHeaderBytes is the size of headers that exceed it.
	illegalHeaderBytes = 250 << 10
	headerLineBytes    = 1 << 10
	trailerBytes       = 250 << 10
	largeChunkBytes    = 64 << 10
	pipelinedRequests  = 500
	unreadBufferBytes  = 4 << 10
)

// fillerLines returns header lines of the given total size.
func fillerLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len()+headerLineBytes <= size; i++ {
		name := fmt.Sprintf("X-Filler-%d: ", i)
		b.WriteString(name + strings.Repeat("x", headerLineBytes-len(name)-2) + "\r\n")
	}
	return b.String()
}

// chunked returns the chunked encoding of b in chunks of the given size, without the last
// chunk.
func chunked(b []byte, size int) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(size, len(b))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, b[:n])
		b = b[n:]
	}
	return out.Bytes()
}

const lastChunk = "0\r\n"

// sendShort sends the request except its last byte in pieces of the given size. Few of
// the clients send the last byte, once all clients are ready.
func (c *client) sendShort(request []byte, size int) error {
	end := len(request) - 1
	for b := request[:end]; len(b) > 0; {
		piece := b[:min(size, len(b))]
		if err := c.send(piece); err != nil {
			return err
		}
		b = b[len(piece):]
	}
	c.awaitAll()
	if !c.completes() {
		return nil
	}
	return c.finish(request[end:])
}

// finish sends the end of a request and waits for the response.
func (c *client) finish(end []byte) error {
	err := c.send(end)
	if err == nil {
		c.awaitAnswer()
	}
	return err
}

// sendAtOnce sends the request, the last byte when all clients are ready.
func (c *client) sendAtOnce(request []byte) error {
	end := len(request) - 1
	if err := c.send(request[:end]); err != nil {
		return err
	}
	c.awaitAll()
	return c.finish(request[end:])
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n"

// headerNeverFinished sends a header without its end.
func headerNeverFinished(c *client) error {
	c.read()
	return c.send(c.head(fillerLines(illegalHeaderBytes)))
}

// largeHeaders sends a request whose header exceeds the limit.
func largeHeaders(c *client) error {
	c.read()
	return c.sendAtOnce(append(c.head(fillerLines(illegalHeaderBytes)), "\r\n"...))
}

// largeChunks sends a body in large chunks that stops short of its end.
func largeChunks(c *client) error { return c.sendChunked(largeChunkBytes) }

// tinyChunks sends a body in chunks of one byte that stops short of its end.
func tinyChunks(c *client) error { return c.sendChunked(1) }

func (c *client) sendChunked(size int) error {
	c.read()
	b := append(c.head(chunkedHeader), c.l.encoded(size)...)
	return c.sendShort(append(b, lastChunk+"\r\n"...), len(b)+len(lastChunk)+2)
}

// wholeBody sends a body of the largest legal size at once that stops short of its end.
func wholeBody(c *client) error {
	c.read()
	b := c.largest()
	return c.sendShort(b, len(b))
}

// incompleteBody sends a body of the largest legal size at once that stops short of its end.
// No client completes it.
func incompleteBody(c *client) error {
	c.read()
	b := c.largest()
	return c.send(b[:len(b)-1])
}

// bodyInPieces sends a body of the largest legal size piece by piece that stops short of
// its end.
func bodyInPieces(c *client) error {
	c.read()
	return c.sendShort(c.largest(), pieceSize)
}

// trailersNeverFinished sends a complete chunked body and trailers without their end.
func trailersNeverFinished(c *client) error {
	return c.sendTrailers("X-Trailer: x")
}

// largeTrailers sends a complete chunked body and large trailers.
func largeTrailers(c *client) error {
	return c.sendTrailers(fillerLines(trailerBytes) + "\r\n")
}

func (c *client) sendTrailers(trailers string) error {
	c.read()
	b := append(c.head("Trailer: X-Trailer\r\n"+chunkedHeader), c.l.encoded(largeChunkBytes)...)
	return c.send(append(b, lastChunk+trailers...))
}

// pipelinedUnread sends requests and reads no response.
func pipelinedUnread(c *client) error {
	one := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.l.query, c.l.host)
	c.shrinkReadBuffer()
	// The write ends with a timeout once the process reads nothing more.
	_ = c.send(bytes.Repeat(one, pipelinedRequests))
	return nil
}

// unreadResponse sends a request for path and does not read the response.
func unreadResponse(path string) func(*client) error {
	return func(c *client) error {
		c.shrinkReadBuffer()
		return c.send(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, c.l.host))
	}
}

// shrinkReadBuffer lets the kernel take little of what the client does not read.
func (c *client) shrinkReadBuffer() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(unreadBufferBytes)
	}
}

// idleAfterRequest sends a complete request and keeps the connection open.
func idleAfterRequest(c *client) error {
	c.read()
	return c.finish(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.l.query, c.l.host))
}

// silent sends nothing.
func silent(*client) error { return nil }

// firstByteOnly sends the first byte of a request.
func firstByteOnly(c *client) error { return c.send([]byte("G")) }
