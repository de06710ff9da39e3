package controller

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
)

// TestPartlyReadBodiesAreTaken guards against requests of operators of which only a part
// is read: two objects in one body, or bytes after the object.
func TestPartlyReadBodiesAreTaken(t *testing.T) {
	app := fiber.New(fiber.Config{ErrorHandler: writeError})
	app.Post("/", func(ctx fiber.Ctx) error {
		var req CancelRequest
		if err := readBody(ctx, &req); err != nil {
			return err
		}
		return ctx.JSON(req)
	})
	for body, want := range map[string]int{
		`{"editId":"e1"}`: 200, " {\"editId\":\"e1\"}\n": 200, `{"editId":"e1"}{"editId":"e2"}`: 400, `{"editId":"e1"}]`: 400, `{"editId":"e1"`: 400, ``: 400,
		`{"editId":"e1","more":1}`: 400,
	} {
		is := is.New(t)
		resp, err := app.Test(httptest.NewRequest("POST", "/", strings.NewReader(body)))
		is.NoErr(err)
		t.Log(body, resp.StatusCode)
		is.Equal(resp.StatusCode, want)
	}
}
