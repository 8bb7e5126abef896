package code

import "encoding/json"

// Body is the JSON body in which callers receive an Error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the value of the field "error". Code holds the stable name
// because client libraries of the chat-completions API expect a string there.
type BodyError struct {
	Message    string   `json:"message"`
	Type       string   `json:"type"`
	Code       string   `json:"code"`
	ResultCode Code     `json:"result_code"`
	Run        RunState `json:"run"`
	Reference  string   `json:"reference,omitempty"`
	RequestID  string   `json:"request_id"`
}

// JSON returns the response body for e, which is also sent as the last event of
// a stream. It has no line breaks.
func (e *Error) JSON(requestID string) []byte {
	info := e.Code.Info()
	data, err := json.Marshal(Body{Error: BodyError{
		Message:    e.Message,
		Type:       info.Type,
		Code:       info.Name,
		ResultCode: e.Code,
		Run:        e.Run,
		Reference:  e.Reference,
		RequestID:  requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return data
}
