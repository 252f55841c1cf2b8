import {probeAddress} from '@deckwheel/host-kit';
import type {Mesh} from '@deckwheel/mesh';
import {
	createCrashDetector, createPoisonDetector, suspicionsReplySchema, type PoisonDetector,
} from '@deckwheel/poison';
import type {MembershipTask} from '../membership/membership-task.js';
import type {Context} from '../process/context.js';

/** How long an endpoint may take to accept the connection that shows whether it ended, in ms. */
const probeMs = 500;

/** How long a peer may take to answer, in ms. */
const askMs = 500;

type Options = {
	readonly mesh: () => Mesh;
	readonly membership: () => MembershipTask;
	/** Where peers reach this host, as `ip:port`. */
	readonly address: () => string;
};

/** Starts the task that finds requests that end the endpoints that run them, together with the other hosts. */
export const startPoisonWatch = ({settings: {host, hall}, clock, log}: Context, {mesh, membership, address}: Options): PoisonDetector =>
	createPoisonDetector({
		self: () => ({address: address(), hall}),
		peers: () => membership().hosts().filter(known => known.host !== host),
		async sendRequest(peer, question) {
			const reply = await mesh().request(peer.address, {type: 'suspicions', ...question}, askMs);
			return reply.ok ? suspicionsReplySchema.safeParse(reply.value).data : undefined;
		},
		crashDetector: createCrashDetector(async ({address}) => probeAddress(address, probeMs)),
		log(event, fields) {
			log('warn', event, fields);
		},
		random: Math.random,
		every(pauseMs, callback) {
			const timer = setInterval(callback, pauseMs);
			return () => {
				clearInterval(timer);
			};
		},
		now: clock.monotonic,
	});
