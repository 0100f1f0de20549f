package hsserver

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/io/hsjson"
)

// apiVersion is the version of the HTTP interface.
const apiVersion = "1"

// document is an OpenAPI 3 document, generated from the registered routes.
type document struct {
	OpenAPI string                          `json:"openapi"`
	Info    info                            `json:"info"`
	Paths   map[string]map[string]operation `json:"paths"`
}

type info struct {
	Title   string `json:"title"`
	Version string `json:"version"`
}

type operation struct {
	ID          string              `json:"operationId"`
	Summary     string              `json:"summary"`
	Parameters  []parameter         `json:"parameters,omitempty"`
	RequestBody *content            `json:"requestBody,omitempty"`
	Responses   map[string]response `json:"responses"`
}

type parameter struct {
	Name        string `json:"name"`
	In          string `json:"in"`
	Description string `json:"description"`
	Required    bool   `json:"required"`
	Schema      schema `json:"schema"`
}

type content struct {
	Content map[string]media `json:"content"`
}

type media struct {
	Schema schema `json:"schema"`
}

type response struct {
	Description string           `json:"description"`
	Content     map[string]media `json:"content,omitempty"`
}

type schema struct {
	Type        string            `json:"type,omitempty"`
	Format      string            `json:"format,omitempty"`
	Description string            `json:"description,omitempty"`
	Items       *schema           `json:"items,omitempty"`
	Properties  map[string]schema `json:"properties,omitempty"`
}

// describeServices returns the document of all routes of the web services.
func describeServices(services []*restful.WebService) document {
	d := document{
		OpenAPI: "3.0.3",
		Info:    info{Title: "hyssopseam", Version: apiVersion},
		Paths:   map[string]map[string]operation{},
	}
	for _, ws := range services {
		for _, r := range ws.Routes() {
			if d.Paths[r.Path] == nil {
				d.Paths[r.Path] = map[string]operation{}
			}
			d.Paths[r.Path][strings.ToLower(r.Method)] = describeRoute(&r)
		}
	}
	return d
}

func describeRoute(r *restful.Route) operation {
	o := operation{ID: r.Operation, Summary: r.Doc, Responses: map[string]response{}}
	for _, p := range r.ParameterDocs {
		data := p.Data()
		if data.Kind == restful.BodyParameterKind {
			continue
		}
		o.Parameters = append(o.Parameters, parameter{
			Name:        data.Name,
			In:          parameterLocation(data.Kind),
			Description: data.Description,
			Required:    data.Kind == restful.PathParameterKind,
			Schema:      schema{Type: "string"},
		})
	}
	if r.ReadSample != nil {
		o.RequestBody = &content{Content: contentFor(r.Consumes, r.ReadSample)}
	}
	o.Responses["default"] = response{Description: "a problem (RFC 9457)"}
	for code, e := range r.ResponseErrors {
		o.Responses[strconv.Itoa(code)] = response{Description: e.Message, Content: contentFor(r.Produces, e.Model)}
	}
	if len(r.ResponseErrors) == 0 {
		o.Responses["200"] = response{Description: "done", Content: contentFor(r.Produces, r.WriteSample)}
	}
	return o
}

func parameterLocation(kind int) string {
	switch kind {
	case restful.PathParameterKind:
		return "path"
	case restful.HeaderParameterKind:
		return "header"
	}
	return "query"
}

func contentFor(types []string, example any) map[string]media {
	if example == nil {
		return nil
	}
	all := map[string]media{}
	for _, mediaType := range types {
		all[mediaType] = media{Schema: schemaOf(reflect.TypeOf(example))}
	}
	return all
}

// schemaOf returns the schema of a type as hsjson and encoding/json write it.
func schemaOf(t reflect.Type) schema {
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem())
	case reflect.Struct:
		return structSchema(t)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return schema{Type: "string", Format: "byte"}
		}
		items := schemaOf(t.Elem())
		return schema{Type: "array", Items: &items}
	case reflect.Bool:
		return schema{Type: "boolean"}
	case reflect.Float64:
		return schema{Type: "number"}
	case reflect.String:
		return schema{Type: "string"}
	}
	if t == reflect.TypeFor[time.Duration]() {
		return schema{Type: "string", Description: "a duration such as 1.4s"}
	}
	return schema{Type: "integer"}
}

// structSchema names properties by their json tag, or as hsjson does without one, and takes descriptions from the
// description tag.
func structSchema(t reflect.Type) schema {
	s := schema{Type: "object", Properties: map[string]schema{}}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		if name == "" {
			name = hsjson.Name(f.Name)
		}
		property := schemaOf(f.Type)
		if description := f.Tag.Get("description"); description != "" {
			property.Description = description
		}
		s.Properties[name] = property
	}
	return s
}
