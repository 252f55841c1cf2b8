import {z} from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d.-]{0,62}$/, 'must be lower-case letters, digits, dots and hyphens');
const address = z.string().regex(/^[\d.]+:\d+$/, 'must be ip:port');
const listen = z.strictObject({
	ip: z.ipv4(),
	/** 0 takes any free port; the `ready` log line names it. */
	port: z.number().int().min(0).max(65_535),
});
const sha256 = z.string().regex(/^[a-f\d]{64}$/, 'must be a SHA-256 in hexadecimal');

/** The schema of the daemon's settings file. Unknown fields are faults. */
export const daemonSettingsSchema = z.strictObject({
	/** The host's name. It stays the same over restarts. */
	host: name,
	hall: name,
	listen: z.strictObject({callers: listen, peers: listen, operators: listen}),
	/** Where peers reach this host, if not at the address it listens at. */
	advertise: address.optional(),
	platform: z.strictObject({url: z.url()}),
	/** Hosts to begin with; more are learnt from the platform's list and from peers. */
	peers: z.array(z.strictObject({host: name, hall: name, address})).default([]),
	/** Shared by all hosts of the fleet; proves a host to its peers. */
	secret: z.string().min(16, 'must have at least 16 characters'),
	operators: z.array(z.strictObject({id: name, sha256})).default([]),
	trustedKeys: z.array(z.strictObject({id: name, role: z.enum(['author', 'approver']), publicKey: z.string().min(1)})),
	/** Number of slots that budgets are spread over. The same in the whole fleet, for good. */
	slots: z.number().int().min(1).max(65_536).default(16),
	/** How far two hosts' wall clocks may differ. */
	clockSkewMs: z.number().int().min(0).max(60_000).default(250),
	/** Time between two writes of a slot's settlements to the store. */
	flushMs: z.number().int().min(50).max(600_000).default(2000),
	/** Least time between two heartbeats to a peer. */
	heartbeatMs: z.number().int().min(50).max(60_000).default(500),
	/** How endpoints are chosen. All but `cost` are baselines for measurements. */
	routing: z.enum(['cost', 'round_robin', 'least_in_flight']).default('cost'),
	telemetry: z.strictObject({
		statsd: z.strictObject({ip: z.ipv4(), port: z.number().int().min(1).max(65_535)}).optional(),
		spans: z.discriminatedUnion('kind', [
			z.strictObject({kind: z.literal('none')}),
			z.strictObject({kind: z.literal('console')}),
			z.strictObject({kind: z.literal('file'), path: z.string().min(1)}),
			z.strictObject({kind: z.literal('otlp'), url: z.url()}),
		]).default({kind: 'none'}),
	}).default({spans: {kind: 'none'}}),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
