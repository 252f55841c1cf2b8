import {setTimeout as delay} from 'node:timers/promises';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {SlotReply} from '@deckwheel/ledger';
import type {Mesh} from '@deckwheel/mesh';
import type {Context} from '../process/context.js';
import type {MembershipTask} from '../membership/membership-task.js';
import type {PeerSlotRequest} from '../peers/peer-slot-request.js';
import {traceHeaders} from '../process/trace-headers.js';
import type {SlotsTask} from './slots-task.js';
import type {AskSlot} from './ask-slot.js';

/** One try at one host. A primary that needs to draw from the store takes longer than one hop. */
const tryTimeoutMs = 3000;

/** Before the next host of a pair is asked, in ms. */
const pauseMs = 40;

type Options = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
	readonly slots: SlotsTask;
	/** Serves a request at this host, if it is the slot's primary. */
	readonly serve: (slot: number, request: PeerSlotRequest) => Promise<SlotReply>;
};

type Question = {readonly slot: number; readonly request: PeerSlotRequest; readonly timeoutMs: number};

const isFinal = (reply: SlotReply | undefined): reply is SlotReply =>
	reply !== undefined && reply.type !== 'not_owner';

/** Creates the function that finds a slot's primary and asks it. */
export const createAskSlot = ({settings, self, clock}: Context, options: Options): AskSlot => {
	const {mesh, membership, slots, serve} = options;

	const send = async (address: string, question: Question, hops: number): Promise<SlotReply | undefined> => {
		const {slot, request, timeoutMs} = question;
		const body = {
			type: 'slot', slot, hops, request, trace: traceHeaders(),
		};
		const outcome = await mesh.request(address, body, timeoutMs);
		return outcome.ok ? outcome.value as SlotReply : undefined;
	};

	const askOwnHall = async (question: Question): Promise<SlotReply | undefined> => {
		const {slot, request} = question;
		const primary = slots.pairOf(slot)?.primary;
		if (primary === self) {
			return serve(slot, request);
		}

		const address = primary === undefined ? undefined : membership.addressOf(primary);
		return address === undefined ? undefined : send(address, question, 0);
	};

	// Any host of the other hall passes the request on to the slot's primary.
	const askOtherHall = async (hall: string, question: Question, attempt: number): Promise<SlotReply | undefined> => {
		const addresses = membership.addressesIn(hall);
		const address = addresses[attempt % Math.max(1, addresses.length)];
		return address === undefined ? undefined : send(address, question, 1);
	};

	return async (hall, slot, request, deadline): Promise<Result<SlotReply, 'unreachable'>> => {
		let attempt = 0;
		while (true) {
			// A hall of which nobody was heard lately is cut off: the caller learns it at once.
			if (hall !== settings.hall && membership.addressesIn(hall).length === 0) {
				return fail('unreachable');
			}

			const timeoutMs = Math.min(tryTimeoutMs, deadline - clock.monotonic());
			if (timeoutMs <= 0) {
				return fail('unreachable');
			}

			const question = {slot, request, timeoutMs};
			const reply = hall === settings.hall
				? await askOwnHall(question)
				: await askOtherHall(hall, question, attempt);
			if (isFinal(reply)) {
				return succeed(reply);
			}

			attempt++;
			slots.wake();
			await delay(Math.min(pauseMs, Math.max(0, deadline - clock.monotonic())));
		}
	};
};
