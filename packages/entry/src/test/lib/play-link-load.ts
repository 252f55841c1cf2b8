import {createLinkAdmission} from '../../lib/link-admission/create-link-admission.js';
import {createRandom} from './create-random.js';

/** Requests of one route that arrive at a host. Sizes in bytes; `perSecond` and `responseBytes` may change with time, in ms. */
export type LinkCallers = {
	readonly route: string;
	readonly rank: number;
	readonly perSecond: (time: number) => number;
	/** The size of the body and of the head. */
	readonly bodyBytes: number;
	readonly responseBytes: (time: number) => number;
	/** Whether the heads of requests state the size of the body. */
	readonly isLengthStated?: boolean;
};

type Options = {
	readonly linkMbps: number;
	readonly callers: readonly LinkCallers[];
	readonly seconds: number;
	/** Requests arrive at random times instead of evenly. */
	readonly seed?: number;
};

type RouteResult = {readonly asked: number; readonly admitted: number; readonly admittedBytes: number};

type LinkPlay = {
	/** The longest wait in the queue of either direction in each second, in ms. */
	readonly queueMs: readonly number[];
	readonly routes: Readonly<Record<string, RouteResult>>;
	readonly events: readonly string[];
};

const headBytes = 600;

/** A response begins after this time and then comes in equal pieces, in ms. */
const firstPieceMs = 200;
const pieceMs = 50;
const pieces = 20;

/**
Plays callers against the link admission of one host in steps of 1 ms. The link is a queue in each direction; bodies arrive whole, whether or
not their requests are admitted.
*/
export const playLinkLoad = ({linkMbps, callers, seconds, seed}: Options): LinkPlay => {
	let time = 0;
	const events: string[] = [];
	const link = createLinkAdmission({
		linkMbps, open: () => 0, schedule: () => () => undefined, log: event => events.push(event), now: () => time,
	});
	const random = seed === undefined ? undefined : createRandom(seed);
	const linkBytesPerMs = linkMbps * 125;
	const tasks = new Map<number, Array<() => void>>();
	const queuedBytes = {in: 0, out: 0};
	const queueMs = Array.from({length: seconds}, () => 0);
	const routes: Record<string, RouteResult> = {};
	const nextAt = callers.map(() => 0);

	const later = (delayMs: number, task: () => void): void => {
		tasks.set(time + delayMs, [...tasks.get(time + delayMs) ?? [], task]);
	};

	const arrive = ({route, rank, bodyBytes, responseBytes, isLengthStated = true}: LinkCallers): void => {
		const requestBytes = headBytes + bodyBytes;
		const bytes = responseBytes(time);
		const transfer = link.admit({route, rank, bodyBytes: isLengthStated ? bodyBytes : undefined});
		const before = routes[route] ?? {asked: 0, admitted: 0, admittedBytes: 0};
		routes[route] = {
			asked: before.asked + 1, admitted: before.admitted + (transfer ? 1 : 0), admittedBytes: before.admittedBytes + (transfer ? requestBytes + bytes : 0),
		};
		queuedBytes.in += requestBytes;
		if (!transfer) {
			return;
		}

		transfer.noteBody(bodyBytes);
		queuedBytes.out += requestBytes;
		for (let i = 0; i < pieces; i++) {
			later(firstPieceMs + (i * pieceMs), () => {
				queuedBytes.in += bytes / pieces;
				queuedBytes.out += bytes / pieces;
			});
		}

		later(firstPieceMs + (pieces * pieceMs), () => {
			transfer.end(bytes);
		});
	};

	for (; time < seconds * 1000; time++) {
		queuedBytes.in = Math.max(0, queuedBytes.in - linkBytesPerMs);
		queuedBytes.out = Math.max(0, queuedBytes.out - linkBytesPerMs);
		for (const task of tasks.get(time) ?? []) {
			task();
		}

		tasks.delete(time);
		for (const [index, caller] of callers.entries()) {
			while (nextAt[index]! <= time) {
				arrive(caller);
				const gapMs = 1000 / caller.perSecond(time);
				nextAt[index]! += random ? -gapMs * Math.log(1 - random()) : gapMs;
			}
		}

		const second = Math.floor(time / 1000);
		queueMs[second] = Math.max(queueMs[second]!, queuedBytes.in / linkBytesPerMs, queuedBytes.out / linkBytesPerMs);
	}

	link.close();
	return {queueMs, routes, events};
};
