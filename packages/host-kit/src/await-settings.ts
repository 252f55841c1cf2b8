import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result, ValidationIssue} from '@deckwheel/core';

/** How long a settings file may be invalid until it counts as written, in ms. A writer that shares a slice of a core may take a second for a small file. */
const maxWriteMs = 3000;

/** The delay between two reads, in ms. */
const rereadDelayMs = 50;

type Read<T> = Result<T, readonly ValidationIssue[]>;

type Options = {
	/** Called once, with the issues of the first read, if there are any. */
	readonly onUnread?: (issues: readonly ValidationIssue[]) => void;
	/** Monotonic ms. */
	readonly now?: () => number;
	readonly wait?: (ms: number) => Promise<unknown>;
};

const monotonicMs = (): number => performance.now();

/**
Reads settings from a file that another process may be writing, which is empty, missing or has a part of its text for a moment. Invalid
settings are read again for a limited time, and are the result if they stay.
*/
export const awaitSettings = async <T>(read: () => Read<T>, {onUnread, now = monotonicMs, wait = sleep}: Options = {}): Promise<Read<T>> => {
	const deadline = now() + maxWriteMs;
	let settings = read();
	if (!settings.ok) {
		onUnread?.(settings.error);
	}

	while (!settings.ok && now() < deadline) {
		await wait(rereadDelayMs);
		settings = read();
	}

	return settings;
};
