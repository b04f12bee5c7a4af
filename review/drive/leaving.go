package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// closedByCallers: callers close their half of the connection once the request is sent and read what comes.
func closedByCallers(w *world, trouble bool) error {
	if _, err := w.startPlain(2, 120*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for number := range 20 {
		if err := w.askAndClose(w.nodes[number%2], fmt.Sprintf("9c41d07be2a3%04x", number+1), trouble); err != nil {
			return err
		}
	}
	return nil
}

// askAndClose sends one request and judges the answer.
func (w *world) askAndClose(n *node, id string, closes bool) error {
	connection, err := net.Dial("tcp", strings.TrimPrefix(n.base(), "http://"))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	request := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt", plainPath, host, id)
	if _, err := io.WriteString(connection, request); err != nil {
		return err
	}
	if closes {
		if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
	}
	w.note("caller sends %s to %s, closes its half of the connection: %v", id, n.name, closes)
	_ = connection.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		w.note("caller of %s gets no answer: %v", id, err)
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	w.note("caller of %s gets %d, stamp %q, %d bytes, %v", id, answer.StatusCode, answer.Header.Get(platform.HeaderStamp), len(body), err)
	if answer.StatusCode/100 == 2 && answer.Header.Get(platform.HeaderStamp) == "" {
		w.breaks("the caller of %s gets %d without a stamp and with %d bytes", id, answer.StatusCode, len(body))
	}
	return nil
}
