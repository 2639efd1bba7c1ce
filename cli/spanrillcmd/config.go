package spanrillcmd

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill/state/config"
)

// documentFilter returns a predicate for the documents that an argument selects: KIND selects those
// of a kind, KIND/NAME a single one, and an empty argument all.
func documentFilter(arg string) (func(config.Name) bool, error) {
	if arg == "" {
		return func(config.Name) bool { return true }, nil
	}
	if !strings.Contains(arg, "/") {
		kind, err := config.ParseKind(arg)
		return func(n config.Name) bool { return n.Kind == kind }, err
	}
	want, err := config.ParseName(arg)
	return func(n config.Name) bool { return n == want }, err
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print documents in the form that edit reads",
		ArgsUsage: "[KIND | KIND/NAME]",
		Description: "spanrill get template/keeper > keeper.json\n" +
			"spanrill get account",
		Action: func(ctx context.Context, c *cli.Command) error {
			match, err := documentFilter(c.Args().First())
			if err != nil {
				return cli.Exit(err.Error(), exitBadInput)
			}
			head, docs, err := readConfiguration(ctx, c)
			if err != nil {
				return err
			}
			return printJSON(c, newBundle(head.Revision, docs, match))
		},
	}
}

func readConfiguration(ctx context.Context, c *cli.Command) (*config.Head, config.Documents, error) {
	store, err := platformClient(c)
	if err != nil {
		return nil, nil, err
	}
	head, _, err := config.ReadHead(ctx, store)
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	docs, err := config.ReadDocuments(ctx, store, head)
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	return head, docs, nil
}

const (
	flagFile    = "file"
	flagAuthor  = "author"
	flagWait    = "wait"
	flagTimeout = "timeout"
)

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "read documents from `FILE`, or - for standard input"}
}

// readChange reads the bundle that --file names and returns it as a change by author.
func readChange(c *cli.Command, author string) (config.Change, error) {
	b, err := readBundle(c.String(flagFile))
	if err != nil {
		return config.Change{}, err
	}
	return b.toChange(c.String(flagFile), author)
}

func editCommand() *cli.Command {
	return &cli.Command{
		Name: "edit", Usage: "change documents in one atomic edit",
		Description: "spanrill get template/keeper > keeper.json\n" +
			"(change keeper.json)\n" +
			"spanrill edit --file keeper.json --wait\n\n" +
			"A document with a base is written only if its stored value still has that hash.\n" +
			"A document with \"remove\": true is removed.\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			fileFlag(),
			&cli.StringFlag{Name: flagAuthor, Value: os.Getenv("USER"), Usage: "author recorded with the edit"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait until all entry boxes have the edit in force"},
			&cli.DurationFlag{Name: flagTimeout, Value: 30 * time.Second, Usage: "time limit of the whole command"},
		},
		Action: runEdit,
	}
}

func runEdit(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	change, err := readChange(c, c.String(flagAuthor))
	if err != nil {
		return err
	}
	store, err := platformClient(c)
	if err != nil {
		return err
	}
	change.EditID = config.NewEditID()
	edit, err := config.NewEditor(store).Commit(ctx, change)
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		return showConflict(c, conflict)
	}
	if err != nil {
		return fmt.Errorf("edit %s: %w", change.EditID, err)
	}
	if err := showAccepted(c, edit); err != nil || !c.Bool(flagWait) {
		return err
	}
	return waitInForce(ctx, c, edit.Revision)
}

func showAccepted(c *cli.Command, edit config.Edit) error {
	if c.Bool(flagJSON) {
		return printJSON(c, edit)
	}
	printf(c, "accepted: revision %d, edit %s\n", edit.Revision, edit.EditID)
	return nil
}

// showConflict prints the stored and the submitted document, and returns conflict as the error.
func showConflict(c *cli.Command, conflict *config.Conflict) error {
	printf(c, "--- theirs: %s\n%s\n+++ yours\n%s\n", conflict.Document, indent(conflict.Theirs), indent(conflict.Mine))
	return conflict
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what an edit would change",
		Description: "spanrill diff --file keeper.json",
		Flags:       []cli.Flag{fileFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			change, err := readChange(c, "")
			if err != nil {
				return err
			}
			_, docs, err := readConfiguration(ctx, c)
			if err != nil {
				return err
			}
			return showDiff(c, differences(docs, change))
		},
	}
}

// difference is a document that an edit would change, with its current and its proposed text.
type difference struct {
	Document string `json:"document"`
	Current  string `json:"now"`
	Proposed string `json:"then"`
}

// differences returns the documents of the change whose stored value would change.
func differences(docs config.Documents, change config.Change) []difference {
	changed := []difference{}
	for n, doc := range change.Documents {
		if string(docs[n]) != string(doc) {
			changed = append(changed, difference{Document: n.String(), Current: string(indent(docs[n])), Proposed: string(indent(doc))})
		}
	}
	return changed
}

func showDiff(c *cli.Command, changed []difference) error {
	if c.Bool(flagJSON) {
		return printJSON(c, changed)
	}
	for _, d := range changed {
		printf(c, "%s\n%s", d.Document, lineDiff(d.Current, d.Proposed))
	}
	return nil
}

// lineDiff returns the removed lines prefixed with - and the added lines prefixed with +. It leaves
// out the lines that both texts have in common at their start and end.
func lineDiff(before, after string) string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	var out strings.Builder
	for _, l := range a[start : len(a)-end] {
		out.WriteString("- " + l + "\n")
	}
	for _, l := range b[start : len(b)-end] {
		out.WriteString("+ " + l + "\n")
	}
	return out.String()
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the recent edits, oldest first",
		Description: "spanrill history",
		Action: func(ctx context.Context, c *cli.Command) error {
			store, err := platformClient(c)
			if err != nil {
				return err
			}
			head, _, err := config.ReadHead(ctx, store)
			if err != nil {
				return fmt.Errorf("read history: %w", err)
			}
			if c.Bool(flagJSON) {
				return printJSON(c, head.Recent)
			}
			for _, e := range head.Recent {
				editedAt := time.UnixMilli(int64(e.At)).UTC().Format(time.RFC3339)
				printf(c, "%6d  %s  %s  %-12s  %v\n", e.Revision, editedAt, e.EditID, e.Author, e.Documents)
			}
			return nil
		},
	}
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check an edit against the configuration without committing it",
		Description: "spanrill validate --file keeper.json\n\nWithout --platform the documents may refer only to one another.",
		Flags:       []cli.Flag{fileFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			change, err := readChange(c, "")
			if err != nil {
				return err
			}
			docs := config.Documents{}
			if c.String(flagPlatform) != "" {
				if _, docs, err = readConfiguration(ctx, c); err != nil {
					return err
				}
			}
			for n, doc := range change.Documents {
				docs[n] = doc
				if doc == nil {
					delete(docs, n)
				}
			}
			if _, err := config.Build(0, "", docs); err != nil {
				return err
			}
			printf(c, "valid\n")
			return nil
		},
	}
}

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name: "schema", Usage: "print the JSON schema of a kind of document", ArgsUsage: "KIND",
		Action: func(_ context.Context, c *cli.Command) error {
			kind, err := config.ParseKind(c.Args().First())
			if err != nil {
				return cli.Exit(err.Error(), exitBadInput)
			}
			printf(c, "%s", config.Schema(kind).Raw())
			return nil
		},
	}
}

func hashKeyCommand() *cli.Command {
	return &cli.Command{
		Name: "hash-key", Usage: "print the hash of a bearer key for an account's key_hashes", ArgsUsage: "KEY",
		Action: func(_ context.Context, c *cli.Command) error {
			key := c.Args().First()
			if key == "" {
				return cli.Exit("missing argument KEY", exitBadInput)
			}
			hash := config.HashKey(key)
			printf(c, "%s\n", hex.EncodeToString(hash[:]))
			return nil
		},
	}
}
