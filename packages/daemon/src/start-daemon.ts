import {setTimeout as delay} from 'node:timers/promises';
import {systemClock} from '@deckwheel/core';
import {openMesh, type Mesh} from '@deckwheel/mesh';
import {connectPlatform} from '@deckwheel/store-client';
import type {AskSlot} from './lib/slots/ask-slot.js';
import type {BundleTask} from './lib/operating/bundle-task.js';
import type {Context} from './lib/process/context.js';
import {createAskSlot} from './lib/slots/create-ask-slot.js';
import {createHomeHallOrder} from './lib/slots/create-home-hall-order.js';
import {createFetchRights} from './lib/slots/create-fetch-rights.js';
import {createLog} from './lib/process/create-log.js';
import {createMetrics} from './lib/process/create-metrics.js';
import {createPeerHandlers} from './lib/peers/create-peer-handlers.js';
import {createRunJob} from './lib/running/create-run-job.js';
import {createServeSlot} from './lib/slots/create-serve-slot.js';
import {createSettler} from './lib/running/create-settler.js';
import {createTracing} from './lib/process/create-tracing.js';
import type {HostStatus} from './lib/membership/host-status.js';
import type {MembershipTask} from './lib/membership/membership-task.js';
import {openWhenFree} from './lib/process/open-when-free.js';
import {newIncarnation} from './lib/membership/new-incarnation.js';
import {pairMapSchema} from './lib/slots/pair-map-schema.js';
import type {PeerSlotRequest} from './lib/peers/peer-slot-request.js';
import type {SlotsTask} from './lib/slots/slots-task.js';
import {startBundle} from './lib/operating/start-bundle.js';
import {startDrawTask} from './lib/draws/start-draw-task.js';
import {startGateway} from './lib/gateway/start-gateway.js';
import {startMembership} from './lib/membership/start-membership.js';
import {startOperators} from './lib/operating/start-operators.js';
import {startPoisonWatch} from './lib/running/start-poison-watch.js';
import {startRecovery} from './lib/running/start-recovery.js';
import {startRouter} from './lib/placing/start-router.js';
import {startSlots} from './lib/slots/start-slots.js';
import type {Daemon} from './daemon.js';
import type {DaemonSettings} from './daemon-settings.js';

const noPartners: ReadonlySet<string> = new Set();

/** How long a peer may take to hand over its bundle, in ms. */
const fetchTimeoutMs = 2000;

/** How long a host that stops waits for its slots to be taken over, in ms. */
const handoverMs = 10_000;

/** How often it looks whether they were, in ms. */
const handoverPauseMs = 50;

/** How long it waits for ends of runs that no ledger has yet, in ms. */
const settleDrainMs = 20_000;

/** How long records of keys are kept where the bundle says nothing, in ms. */
const defaultKeepMs = 600_000;

/**
Starts a daemon: an entry host of the fleet. `stopSignal` begins its planned stop.

@returns The daemon; `undefined` if it was to stop before it could listen for peers.

@example
const daemon = await startDaemon(settings, stopping.signal);
await daemon?.stopped;
*/
export const startDaemon = async (settings: DaemonSettings, stopSignal: AbortSignal): Promise<Daemon | undefined> => {
	const clock = systemClock;
	const self = newIncarnation(settings.host, clock.wall());
	const log = createLog(settings.logLevel, {host: settings.host, hall: settings.hall});
	const metrics = createMetrics(settings);
	const tracing = createTracing(settings);
	const platform = connectPlatform(settings.platform.url);
	const context: Context = {
		settings, self, clock, platform, log, metrics, tracing,
	};

	// The tasks refer to each other; each is reached through a function until all are there.
	const tasks: {membership?: MembershipTask; slots?: SlotsTask; bundle?: BundleTask; askSlot?: AskSlot; serve?: ReturnType<typeof createServeSlot>} = {};
	const currentBundle = () => tasks.bundle?.current()?.bundle;
	const keepMs = (): number => (currentBundle()?.limits.keepSeconds ?? defaultKeepMs / 1000) * 1000;
	const serve = async (slot: number, request: PeerSlotRequest) => tasks.serve!(slot, request);

	const opened = await openWhenFree(async () => openMesh({
		self: {incarnation: self, hall: settings.hall},
		secret: settings.secret,
		listen: {host: settings.listen.peers.ip, port: settings.listen.peers.port},
		handlers: createPeerHandlers(context, {
			membership: () => tasks.membership!,
			slots: () => tasks.slots!,
			bundle: () => tasks.bundle!,
			poison: () => poison,
			serve,
			async forward(address, body, timeoutMs) {
				const outcome = await mesh.request(address, body, timeoutMs);
				return outcome.ok ? outcome.value : undefined;
			},
		}),
	}), {address: `${settings.listen.peers.ip}:${settings.listen.peers.port}`, log, stopSignal});
	if (!opened) {
		return undefined;
	}

	const mesh: Mesh = opened;
	const poison = startPoisonWatch(context, {mesh: () => mesh, membership: () => tasks.membership!, address: () => address});
	const address = settings.advertise ?? `${settings.listen.peers.ip}:${mesh.port}`;
	const catchUpWith = async (status: HostStatus): Promise<void> => {
		if (status.bundleVersion > (currentBundle()?.version ?? 0)) {
			await tasks.bundle?.fetchFrom(status.address);
		}

		if (status.hall === settings.hall && status.pairsVersion > (tasks.slots?.pairs().version ?? 0)) {
			const outcome = await mesh.request(status.address, {type: 'pairs'}, fetchTimeoutMs);
			const parsed = pairMapSchema.safeParse(outcome.ok ? outcome.value : undefined);
			if (parsed.success) {
				tasks.slots?.adopt(parsed.data);
			}
		}
	};

	const membership = startMembership(context, {
		mesh,
		address,
		versions: () => ({pairsVersion: tasks.slots?.pairs().version ?? 0, bundleVersion: currentBundle()?.version ?? 0}),
		partners: () => tasks.slots?.partners() ?? noPartners,
		onHeard(status) {
			void catchUpWith(status);
		},
	});
	tasks.membership = membership;
	const router = startRouter(context, {hostsInHall: () => membership.liveInHall().length});
	const slots = startSlots(context, {mesh, membership});
	tasks.slots = slots;
	const bundle = startBundle(context, {
		mesh,
		liveInHall: membership.liveInHall,
		onAdopted(adopted) {
			router.configure(adopted.bundle);
		},
	});
	tasks.bundle = bundle;
	const draws = startDrawTask(context, {slots, bundle: currentBundle});
	const fetchRights = createFetchRights(context, {slots, bundle: currentBundle, askSlot: () => tasks.askSlot!});
	tasks.serve = createServeSlot(context, {slots, draws, fetchRights});
	const askSlot = createAskSlot(context, {
		mesh, membership, slots, serve,
	});
	tasks.askSlot = askSlot;
	const settler = createSettler(context, askSlot);
	const recovery = startRecovery(context, {
		slots, membership, router, keepMs,
	});
	const runJob = createRunJob(context, {
		askSlot, router, settler, poison, keepMs,
	});
	const homes = createHomeHallOrder(context, {slots, membership, bundle: currentBundle});
	const gateway = await startGateway(context, {bundle: bundle.current, runJob, homes});

	// Hands every slot over. A lone host gives its rights back to the store instead.
	const handOver = async (): Promise<void> => {
		const deadline = clock.monotonic() + handoverMs;
		while (slots.ownSlots().length > 0 && clock.monotonic() < deadline) {
			const isAlone = membership.liveInHall().length === 0;
			if (isAlone) {
				await Promise.all(slots.ownSlots().map(async slot => draws.giveBackAll(slot)));
				return;
			}

			slots.wake();
			await delay(handoverPauseMs);
		}
	};

	const closeAll = async (): Promise<void> => {
		poison.close();
		await Promise.all([recovery.stop(), draws.stop(), slots.stop(), bundle.stop(), router.stop(), membership.stop()]);
		await Promise.all([gateway.close(), operators.close(), mesh.close()]);
		await Promise.all([tracing.close(), metrics.close()]);
	};

	const runStop = async (): Promise<void> => {
		log('info', 'stopping', {open_requests: gateway.open()});
		membership.leave();
		await gateway.drain();
		await settler.drain(clock.monotonic() + settleDrainMs);
		await handOver();
		await closeAll();
		log('info', 'stopped', {unsettled_runs: settler.open()});
	};

	let announceStopped: () => void = () => undefined;
	const stopped = new Promise<void>(resolve => {
		announceStopped = resolve;
	});
	let stopping: Promise<void> | undefined;
	const stop = async (): Promise<void> => {
		stopping ??= runStop();
		await stopping;
		announceStopped();
	};

	const operators = await startOperators(context, {
		slots, membership, bundle, router, gateway, askSlot, drain() {
			void stop();
		},
	});
	stopSignal.addEventListener('abort', () => {
		void stop();
	});
	if (stopSignal.aborted) {
		void stop();
	}

	log('info', 'ready', {
		incarnation: self,
		callers: `${settings.listen.callers.ip}:${gateway.port}`,
		peers: `${settings.listen.peers.ip}:${mesh.port}`,
		operators: `${settings.listen.operators.ip}:${operators.port}`,
	});
	return {
		callersPort: gateway.port, peersPort: mesh.port, operatorsPort: operators.port, stop, stopped,
	};
};
