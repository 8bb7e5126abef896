package code

import "testing"

// TestTable guards against a result code that is listed twice, out of order or
// without the fields that callers rely on.
func TestTable(t *testing.T) {
	last := Code(0)
	for _, info := range All() {
		if info.Code <= last {
			t.Errorf("code %d is out of order", info.Code)
		}
		last = info.Code
		if info.Name == "" || info.Status < 400 || info.Type == "" || info.Run == "" || info.Meaning == "" {
			t.Errorf("code %d is incomplete: %+v", info.Code, info)
		}
	}
}
