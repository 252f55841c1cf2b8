import {context as traceContext, propagation} from '@opentelemetry/api';
import type {Identity, MeshHandlers} from '@deckwheel/mesh';
import type {SlotReply} from '@deckwheel/ledger';
import type {PoisonDetector} from '@deckwheel/poison';
import type {BundleTask} from '../operating/bundle-task.js';
import type {Context} from '../process/context.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {replicaMessageSchema} from '../slots/replica-message-schema.js';
import type {SlotsTask} from '../slots/slots-task.js';
import {traceHeaders} from '../process/trace-headers.js';
import {peerRequestSchema} from './peer-request-schema.js';
import type {PeerRequest} from './peer-request.js';
import type {PeerSlotRequest} from './peer-slot-request.js';

/** Hosts that a request to a slot may pass through: the one asked, and the primary that it knows of. */
const maxHops = 2;

/** How long the next of them may take, in ms: below what the asker waits (`tryTimeoutMs` of createAskSlot). */
const forwardTimeoutMs = 2500;

/** Hosts that an answer to a heartbeat tells of. Each answer tells of others, so that all get around. */
const toldHosts = 3;

type Options = {
	readonly membership: () => MembershipTask;
	readonly slots: () => SlotsTask;
	readonly bundle: () => BundleTask;
	readonly poison: () => PoisonDetector;
	readonly serve: (slot: number, request: PeerSlotRequest) => Promise<SlotReply>;
	readonly forward: (address: string, body: unknown, timeoutMs: number) => Promise<unknown>;
};

/** Creates the handlers for what peers send. Whatever does not fit its schema is dropped and counted. */
export const createPeerHandlers = ({settings, self, log, metrics, tracing}: Context, options: Options): MeshHandlers => {
	const {membership, slots, bundle, poison, serve, forward} = options;
	let told = 0;

	const serveSlot = async ({slot, hops, request, trace}: PeerRequest & {type: 'slot'}): Promise<unknown> => {
		if (slot >= settings.slots) {
			return {type: 'not_owner'};
		}

		const primary = slots().pairOf(slot)?.primary;
		const address = primary === undefined || primary === self ? undefined : membership().addressOf(primary);
		const parent = propagation.extract(traceContext.active(), trace ?? {});
		return tracing.tracer.startActiveSpan(address ? 'slot.forward' : 'slot.serve', {}, parent, async span => {
			const canForward = address !== undefined && hops > 0 && hops < maxHops;
			const reply = canForward
				? await forward(address, {
					type: 'slot', slot, hops: hops + 1, request, trace: traceHeaders(),
				}, forwardTimeoutMs)
				: await serve(slot, request);
			span.end();
			return reply ?? {type: 'not_owner'};
		});
	};

	const heartbeat = (from: Identity, {status}: PeerRequest & {type: 'heartbeat'}): unknown => {
		// A host speaks only for itself: its incarnation was proved on the link.
		if (status.incarnation !== from.incarnation) {
			return undefined;
		}

		const hosts = membership().hosts();
		const known = Array.from({length: Math.min(toldHosts, hosts.length)}, () => hosts[told++ % hosts.length]!)
			.map(({host, hall, address}) => ({host, hall, address}));
		return {status: membership().heard(status), known};
	};

	return {
		async onRequest(from, body) {
			const parsed = peerRequestSchema.safeParse(body);
			if (!parsed.success) {
				metrics.count('peer.malformed');
				log('warn', 'peer_malformed', {peer: from.incarnation, fault: parsed.error.issues[0]?.path.join('.')});
				return {type: 'malformed'};
			}

			const request = parsed.data;
			switch (request.type) {
				case 'heartbeat': {
					return heartbeat(from, request);
				}

				case 'pairs': {
					return slots().pairs();
				}

				case 'bundle': {
					return bundle().current()?.signed;
				}

				case 'suspicions': {
					return poison().answer(from.hall, request);
				}

				case 'slot': {
					return serveSlot(request);
				}
			}
		},
		onMessage(from, body) {
			const parsed = replicaMessageSchema.safeParse(body);
			if (parsed.success && from.hall === settings.hall) {
				slots().onMessage(from.incarnation, parsed.data);
			} else {
				metrics.count('peer.malformed');
			}
		},
		onLinkReplaced(address, quietMs) {
			log('warn', 'link_replaced', {address, quiet_ms: Math.round(quietMs)});
		},
	};
};
