import {
	newReplica, stepReplica, type Replica, type ReplicaEffect, type ReplicaEvent, type SlotReply,
} from '@deckwheel/ledger';
import type {Mesh} from '@deckwheel/mesh';
import type {MembershipTask} from '../membership/membership-task.js';
import type {Context} from '../process/context.js';
import type {Replicas} from './replicas.js';

/** A primary whose backup acknowledged nothing for this long sends everything again, in ms. */
const resyncAfterMs = 600;

type Options = {
	readonly mesh: Mesh;
	readonly membership: Pick<MembershipTask, 'addressOf'>;
};

/** Creates the owner of the replicas: runs the pure decisions of `stepReplica` and carries out their effects. */
export const createReplicas = ({self, clock}: Context, {mesh, membership}: Options): Replicas => {
	const replicas = new Map<number, Replica>();
	const waiters = new Map<number, (reply: SlotReply) => void>();
	const unackedSince = new Map<number, number>();
	let nextId = 1;

	const of = (slot: number): Replica => replicas.get(slot) ?? newReplica(self, slot);

	const carryOut = (effect: ReplicaEffect): void => {
		if (effect.type === 'send') {
			const address = membership.addressOf(effect.to);
			if (address !== undefined) {
				mesh.send(address, effect.message);
			}

			return;
		}

		const waiter = waiters.get(effect.id);
		waiters.delete(effect.id);
		waiter?.(effect.reply);
	};

	const noteAcks = (slot: number, replica: Replica): void => {
		const isBehind = replica.role === 'primary' && replica.acked < replica.seq;
		if (!isBehind) {
			unackedSince.delete(slot);
		} else if (!unackedSince.has(slot)) {
			unackedSince.set(slot, clock.monotonic());
		}
	};

	const step = (slot: number, event: ReplicaEvent): void => {
		const {replica, effects} = stepReplica(of(slot), event, clock.wall());
		replicas.set(slot, replica);
		noteAcks(slot, replica);
		for (const effect of effects) {
			carryOut(effect);
		}
	};

	return {
		of,
		find: slot => replicas.get(slot),
		all: () => [...replicas.values()],
		step,
		submit: async (slot, request) => new Promise(resolve => {
			const id = nextId++;
			waiters.set(id, resolve);
			step(slot, {type: 'request', id, request});
		}),
		onMessage(from, message) {
			step(message.slot, {type: 'message', from, message});
		},
		resync() {
			for (const [slot, since] of unackedSince) {
				if (clock.monotonic() - since > resyncAfterMs) {
					unackedSince.set(slot, clock.monotonic());
					step(slot, {type: 'resync'});
				}
			}
		},
	};
};
