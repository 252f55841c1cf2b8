import {z} from 'zod';

const id = z.string().regex(/^[a-z\d][a-z\d.-]{0,62}$/, 'must be lower-case letters, digits, dots and hyphens');
const tokens = z.number().int().nonnegative().max(1e12);

const hallSchema = z.strictObject({id, region: id});

const apiKeySchema = z.strictObject({
	/** SHA-256 of the key, in hexadecimal. The key itself is never stored. */
	sha256: z.string().regex(/^[a-f\d]{64}$/, 'must be a SHA-256 in hexadecimal'),
	/** The id of the budget that pays for requests with this key. */
	budget: id,
});

const organisationSchema = z.strictObject({
	id,
	/** The highest priority that the organisation's requests may ask for. */
	priority: z.enum(['quick', 'normal', 'slow']),
	/** Weight of the organisation's requests in a contended request queue, relative to other organisations. */
	weight: z.number().positive().max(100).default(1),
	apiKeys: z.array(apiKeySchema),
});

const modelSchema = z.strictObject({
	id,
	maxOutputTokens: z.number().int().positive().max(1e6),
	maxPromptTokens: z.number().int().positive().max(1e7),
});

const endpointSchema = z.strictObject({
	id,
	hall: id,
	kind: z.enum(['model', 'service']),
	url: z.url(),
	/** The ids of the models or services that the endpoint serves. */
	serves: z.array(id).min(1),
	/** The number of requests that the endpoint can run concurrently. */
	slots: z.number().int().positive().max(10_000),
	/** Whether the endpoint refuses a request that arrives after the request's `sendBy`. */
	checksSendBy: z.boolean().default(false),
	/** Whether the endpoint is leaving. A leaving endpoint gets no new requests. */
	isLeaving: z.boolean().default(false),
});

const callSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
	/** The prefix of the paths that the call covers. The first call of the service with the method and a matching prefix applies. */
	path: z.string().startsWith('/'),
	/** Whether the call may be run more than once for one request. */
	isRepeatable: z.boolean(),
	/** The price of one call, in tokens. */
	cost: tokens,
});

const serviceSchema = z.strictObject({id, calls: z.array(callSchema).min(1)});

const limitsSchema = z.strictObject({
	maxBodyBytes: z.number().int().positive().max(16_000_000).default(1_000_000),
	/** The maximum number of requests that one host has open at once. */
	maxOpenRequests: z.number().int().positive().max(100_000).default(2000),
	/** The maximum length of one host's request queue. */
	maxQueued: z.number().int().nonnegative().max(100_000).default(500),
	/** Time from a request's arrival to its deadline, in seconds, for requests that state no deadline. */
	defaultDeadlineSeconds: z.number().positive().max(86_400).default(120),
	/** How long the claim on a request's key is kept after the request's deadline, in seconds. */
	keepSeconds: z.number().positive().max(86_400).default(600),
});

const policySchema = z.strictObject({
	profile: z.enum(['guard_spend', 'guard_service']),
	/** The share of a budget's unspent tokens that the halls hold as rights, divided by the halls' demand. The remainder stays in the store. */
	shareOfRest: z.number().positive().max(1),
	/** Time constant, in seconds, with which the measure of a hall's demand decays. */
	memorySeconds: z.number().positive().max(86_400).default(300),
});

/** The schema of a bundle. An unknown field is an error, so that a misspelt field is noticed. */
export const bundleSchema = z.strictObject({
	version: z.number().int().positive(),
	halls: z.array(hallSchema).min(1),
	organisations: z.array(organisationSchema),
	models: z.array(modelSchema),
	services: z.array(serviceSchema),
	endpoints: z.array(endpointSchema),
	limits: limitsSchema,
	policy: policySchema,
});
