package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// backupCommand saves a snapshot of the replicated control state to a file. The
// snapshot comes from a running control instance or, with -data, from the Raft
// log in the data folder of a stopped one, for when the group has lost its quorum.
type backupCommand struct {
	operatorClient
	data string
}

func (*backupCommand) Name() string     { return "backup" }
func (*backupCommand) Synopsis() string { return "write the control state into a file" }

func (*backupCommand) Usage() string {
	return `backup [-data FOLDER] FILE
  Writes the control state into a new file: configuration, history and claims.
  With -data it is read from the data folder of an instance that does not run,
  for when too few control instances are left to decide.
` + operatorClientUsage
}

func (c *backupCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.data, "data", "", "data folder of an instance that does not run")
}

func (c *backupCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	backup, code, err := c.fetch(ctx)
	if err != nil {
		return fail(code, err)
	}
	encoded, err := server.EncodeBackup(backup)
	if err != nil {
		return fail(exitFailure, err)
	}
	path := f.Arg(0)
	if err := store.WriteAtomic(filepath.Dir(path), filepath.Base(path), encoded); err != nil {
		return fail(exitFailure, err)
	}
	fmt.Printf("%d bytes of control state as of log index %d.\n", len(encoded), backup.GetIndex())
	return exitOK
}

// fetch obtains the backup from the data folder, if one is given, or from a
// control instance. The exit code applies only if the error is not nil.
func (c *backupCommand) fetch(ctx context.Context) (*rpc.Backup, subcommands.ExitStatus, error) {
	if c.data != "" {
		backup, err := backupFromDataFolder(c.data)
		return backup, exitFailure, err
	}
	if err := c.configure(); err != nil {
		return nil, exitUsage, err
	}
	backup, err := callFirstAvailable(ctx, &c.operatorClient, func(ctx context.Context, o rpc.Operator) (*rpc.Backup, error) {
		return o.Backup(ctx, &rpc.BackupRequest{})
	})
	return backup, exitUnreachable, err
}

// backupFromDataFolder rebuilds the control state from the log in the data folder
// of a stopped instance. It fails if the folder does not exist, which OpenDataDir
// would create.
func backupFromDataFolder(data string) (*rpc.Backup, error) {
	if _, err := os.Stat(data); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	folder, err := store.OpenDataDir(data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = folder.Close() }()
	backup, err := server.BackupFromLog(server.FolderLogStore{Folder: folder}, state.DefaultLimits())
	return backup, trace.Wrap(err)
}

// restoreCommand bootstraps a new control group, with this instance as its only
// member, from a backup. It writes the initial log into an empty data folder.
type restoreCommand struct {
	data            string
	instance        string
	address         string
	revisionAtLeast uint64
	// holdClaims is how long idempotency keys that the backup does not contain are
	// refused, because their requests may have run after the backup.
	holdClaims time.Duration
}

func (*restoreCommand) Name() string     { return "restore" }
func (*restoreCommand) Synopsis() string { return "found a new control group from a backup" }

func (*restoreCommand) Usage() string {
	return `restore -data FOLDER -instance NAME -address IP:PORT -revision-at-least N [-hold-claims TIME] FILE
  Founds a new control group in an empty data folder. Do it on one control
  instance only, while none runs. The others start with empty data folders and
  join. What was decided after the backup is lost. Read docs/OPERATING.md first.
`
}

func (c *restoreCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.data, "data", "", "empty data folder of the instance")
	f.StringVar(&c.instance, "instance", "", "name of the instance, as in its settings")
	f.StringVar(&c.address, "address", "", "listen.instances address of the instance, as in its settings")
	f.Uint64Var(&c.revisionAtLeast, "revision-at-least", 0, "highest revision that any instance has in force")
	f.DurationVar(&c.holdClaims, "hold-claims", state.DefaultLimits().ClaimRetention,
		"how long keys that the backup does not know are refused; they may have run")
}

func (c *restoreCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.data == "" || c.instance == "" || c.address == "" {
		f.Usage()
		return exitUsage
	}
	path := f.Arg(0)
	encoded, err := store.ReadAtomic(filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	backup, err := server.DecodeBackup(encoded)
	if err != nil {
		return fail(exitInvalidInput, err)
	}
	if err := c.restore(backup); err != nil {
		return fail(exitFailure, err)
	}
	fmt.Println("The new control group is founded. Start this instance, then the others.")
	return exitOK
}

func (c *restoreCommand) restore(backup *rpc.Backup) error {
	folder, err := store.OpenDataDir(c.data)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = folder.Close() }()
	return trace.Wrap(server.Restore(server.FolderLogStore{Folder: folder}, backup, server.RestoreOptions{
		Self:           server.Instance{Name: tables.InstanceID(c.instance), Address: c.address},
		MinRevision:    c.revisionAtLeast,
		UnknownKeyHold: c.holdClaims,
	}))
}
