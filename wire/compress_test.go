package wire

import (
	"bytes"
	"net/http"
	"reflect"
	"testing"
)

// TestLargeMessagesAreCompressed guards against messages that are damaged by compression: a message
// above the threshold and one below it arrive unchanged.
func TestLargeMessagesAreCompressed(t *testing.T) {
	received := make(chan Message, 2)
	to := openTransport(t, func(message Message) { received <- message })
	from := openTransport(t, func(Message) {}, WithCompression(1<<10), stoppedClock)
	value := bytes.Repeat([]byte(`{"name":"m1","weights_mb":42000},`), 4000)
	for _, sent := range []StoreChanges{
		{From: "node-a", Revision: 1, Changes: []StoreChange{{Key: "k", Value: value, Revision: 1}}},
		{From: "node-a", Revision: 2, Changes: []StoreChange{{Key: "k", Value: []byte("v"), Revision: 2}}},
	} {
		from.Send(to.Address(), sent)
		if got := <-received; !reflect.DeepEqual(got, sent) {
			t.Fatalf("the message of revision %d was changed on the way", sent.Revision)
		}
	}
	if got := to.Statistics().BytesReceived; got < uint64(len(value)) {
		t.Errorf("%d bytes were decoded, the value has %d", got, len(value))
	}
}

// TestDecompressedBodySizeIsLimited guards against a small body that expands beyond the limit and
// exhausts the receiver's memory.
func TestDecompressedBodySizeIsLimited(t *testing.T) {
	data, err := compress(make([]byte, 2*maxBodyBytes))
	if err != nil {
		t.Fatal(err)
	}
	to := openTransport(t, func(Message) { t.Error("a message beyond the size limit was handled") })
	if status := postCompressed(t, to.Address(), data); status < 400 {
		t.Errorf("answered %d", status)
	}
}

// postCompressed sends a compressed body and returns the status of the response.
func postCompressed(t *testing.T, address string, data []byte) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+messagesPath, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(encodingHeader, encodingDeflate)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}
