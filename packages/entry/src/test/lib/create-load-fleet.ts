import {setImmediate} from 'node:timers/promises';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {createLoadSharing} from '../../lib/load-sharing/create-load-sharing.js';
import type {LoadSharing} from '../../lib/load-sharing/load-sharing.js';
import {peerMessageSchema} from '../../lib/peers/peer-message-schema.js';
import {createManualClock} from './create-manual-clock.js';

const stepMs = 10;

/** One message between hosts and its reply, as the fleet carried it. */
export type CarriedMessage = {readonly from: ListedPeer; readonly to: ListedPeer; readonly message: unknown; readonly reply: unknown};

/** A host of the fleet. */
export type LoadFleetHost = {
	readonly peer: ListedPeer;
	readonly sharing: LoadSharing;
	/** The endpoints that it was told to have ended. */
	readonly endedTold: readonly string[];
	/** What its event counter counted, and the largest values recorded. */
	readonly counts: Readonly<Record<string, number>>;
	/** The names of the events that it logged. */
	readonly logged: readonly string[];
};

type Options = {
	/** The number of hosts of each hall. */
	readonly halls: Readonly<Record<string, number>>;
	readonly endpoints: readonly string[];
	/** Whether a message arrives. Without an arrival the sender waits for its time-out. By default all messages arrive. */
	readonly arrives?: (from: ListedPeer, to: ListedPeer) => boolean;
	/** How long a reply takes, in ms. By default 0. */
	readonly delayMs?: (from: ListedPeer, to: ListedPeer) => number;
	/** Replaces a reply. */
	readonly replaceReply?: (reply: unknown, to: ListedPeer) => unknown;
	readonly onCarried?: (carried: CarriedMessage) => void;
};

/** Creates hosts that share their loads through this process, by a clock that only `run` advances. */
export const createLoadFleet = ({halls, endpoints, arrives = () => true, delayMs = () => 0, replaceReply = reply => reply, onCarried}: Options) => {
	const clock = createManualClock();
	const peers = Object.entries(halls).flatMap(([hall, count]) =>
		Array.from({length: count}, (_, index): ListedPeer => ({holder: `${hall}-${index}#a`, address: `${hall}-${index}:1`, hall})));
	const hosts = new Map<string, LoadFleetHost>();

	const wait = async (ms: number): Promise<void> => new Promise(resolve => {
		clock.schedule(ms, resolve);
	});

	const carry = async (from: ListedPeer, address: string, message: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>> => {
		const to = peers.find(peer => peer.address === address)!;
		if (!arrives(from, to)) {
			await wait(timeoutMs);
			return fail('unknown');
		}

		const parsed = peerMessageSchema.parse(message);
		if (parsed.type !== 'load') {
			throw new Error('not a load message');
		}

		const reply = replaceReply(hosts.get(address)!.sharing.answerLoad({incarnation: from.holder, hall: from.hall}, parsed), to);
		onCarried?.({
			from, to, message, reply,
		});
		if (delayMs(from, to) > 0) {
			await wait(delayMs(from, to));
		}

		return succeed(reply);
	};

	const createHost = (self: ListedPeer): LoadFleetHost => {
		const endedTold: string[] = [];
		const counts: Record<string, number> = {};
		const logged: string[] = [];
		const hall = peers.filter(peer => peer.hall === self.hall);
		const sharing = createLoadSharing({
			links: () => ({
				self: () => self,
				others: () => peers.filter(peer => peer !== self),
				hallPeers: () => [self, ...hall.filter(peer => peer !== self)],
				hallSize: () => hall.length,
			}),
			request: async (address, message, timeoutMs) => carry(self, address, message, timeoutMs),
			every(intervalMs, callback) {
				const repeat = (): void => {
					callback();
					cancel = clock.schedule(intervalMs, repeat);
				};

				// Hosts start at different times.
				let cancel = clock.schedule((peers.indexOf(self) * 70) % intervalMs, repeat);
				return () => {
					cancel();
				};
			},
			onEnded(endpoint) {
				endedTold.push(endpoint);
			},
			counter: {
				increment(name, by = 1) {
					counts[name] = (counts[name] ?? 0) + by;
				},
				recordMax(name, value) {
					counts[name] = Math.max(counts[name] ?? 0, value);
				},
			},
			log(event) {
				logged.push(event);
			},
			now: clock.now,
		});
		return {
			peer: self, sharing, endedTold, counts, logged,
		};
	};

	const list = (ids: readonly string[]): void => {
		for (const {sharing} of hosts.values()) {
			sharing.list(ids.map(id => ({
				id, instance: id, address: `${id}:1`, hall: 'a', serves: ['model'], slots: 16, isLeaving: false,
			})));
		}
	};

	for (const peer of peers) {
		hosts.set(peer.address, createHost(peer));
	}

	list(endpoints);
	return {
		hosts: [...hosts.values()],
		/** Replaces the listed endpoints at all hosts. */
		list,
		/** Advances the clock in small steps, and lets the messages of each step arrive. */
		async run(ms: number, onStep: (now: number) => void = () => undefined): Promise<void> {
			for (let passed = 0; passed < ms; passed += stepMs) {
				clock.advance(stepMs);
				await setImmediate();
				onStep(clock.now());
			}
		},
	};
};
