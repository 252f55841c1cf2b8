import type {ChildProcess} from 'node:child_process';

/** A daemon that runs as a process of its own. */
export type EntryProcess = {
	readonly host: string;
	readonly hall: string;
	readonly child: ChildProcess;
	/** `http://ip:port` of the HTTP server for callers. */
	readonly callers: string;
	readonly operators: string;
	/** `ip:port` for peers. */
	readonly peers: string;
	/** Its log lines so far. */
	readonly lines: readonly string[];
	/** Resolves with the first log line, past or coming, that contains the text. */
	readonly logged: (text: string) => Promise<string>;
	/** Resolves with its exit code, or the signal that ended it. */
	readonly exited: Promise<number | string>;
};
