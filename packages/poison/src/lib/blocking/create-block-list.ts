import type {LogFields} from '@deckwheel/host-kit';
import {LRUCache} from 'lru-cache';
import {partPrefix} from '../part-prefix.js';
import type {SuspicionTable} from '../suspicion-table.js';
import {blamedSubjects} from './blamed-subjects.js';
import type {BlockList} from './block-list.js';
import {blockedUntil} from './blocked-until.js';

/** The time between two tests of a subject after its block, in ms: longer than a run takes to begin, and to crash its endpoint. */
const testIntervalMs = 2000;

/** The most subjects whose next test is remembered: as many as may be blocked. */
const maxTested = 500;

type Options = {
	readonly table: SuspicionTable;
	/** Whether a run of the subject came to a good end at this host. */
	readonly isProven: (subject: string) => boolean;
	/** The place of this host among all hosts for the tests of a subject, from 0: the same order at every host. */
	readonly rankOf: (subject: string) => number;
	/** Writes one log line of key=value pairs for an event. */
	readonly log: (event: string, fields: LogFields) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the block list of a host that has seen no crash.

A block ends by time. After it the hosts test the subject one after the other, each with one request every `testIntervalMs`, until one
comes to a good end or crashes its endpoint, which all hosts learn. Otherwise all would send what they have at once.
*/
export const createBlockList = ({table, isProven, rankOf, log, now}: Options): BlockList => {
	const nextTestAt = new LRUCache<string, number>({max: maxTested});
	let blamed: ReadonlySet<string> = new Set();

	const endOf = (subject: string): number => blockedUntil(table.get(subject)!) ?? 0;

	const isKnown = (subject: string): boolean => blamed.has(subject) && table.get(subject) !== undefined;

	const nextSendAt = (subject: string): number => {
		const end = endOf(subject);
		return end > now() ? end : Math.max(end + (rankOf(subject) * testIntervalMs), nextTestAt.get(subject) ?? 0);
	};

	const logBlock = (subject: string): void => {
		const {crashes, cleared} = table.get(subject)!;
		const fields = {for_ms: Math.round(endOf(subject) - now()), endpoints: [...crashes.keys()].filter(endpoint => !cleared.has(endpoint)).join(',')};
		if (subject.startsWith(partPrefix)) {
			log('part_blocked', {part: subject.slice(partPrefix.length), ...fields});
		} else {
			log('request_blocked', {request: subject, ...fields});
		}
	};

	const logEnd = (subject: string): void => {
		if (subject.startsWith(partPrefix)) {
			log('part_unblocked', {part: subject.slice(partPrefix.length)});
		} else {
			log('request_unblocked', {request: subject});
		}
	};

	return {
		blockedUntil(subjects) {
			const times = subjects.filter(subject => isKnown(subject)).map(subject => nextSendAt(subject)).filter(at => at > now());
			return times.length > 0 ? Math.max(...times) : undefined;
		},
		noteSent(subjects) {
			for (const subject of subjects.filter(blocked => isKnown(blocked))) {
				nextTestAt.set(subject, now() + testIntervalMs);
			}
		},
		blocked: () => [...blamed].filter(subject => isKnown(subject) && endOf(subject) > now()),
		review() {
			const before = blamed;
			blamed = blamedSubjects(table.accused(), isProven);
			for (const subject of blamed) {
				if (!before.has(subject)) {
					logBlock(subject);
				}
			}

			for (const subject of before) {
				if (!blamed.has(subject)) {
					logEnd(subject);
				}
			}
		},
	};
};
