import {checkBundle, hashApiKey, type Bundle} from '@deckwheel/bundle';
import {assertInvariant} from '@deckwheel/core';

/** What a try-out bundle names. */
type Parts = {
	readonly halls: readonly string[];
	readonly engineUrls: Readonly<Record<string, string>>;
	readonly serviceUrl: string;
	readonly apiKey: string;
	readonly otherApiKey: string;
	readonly engineSlots: number;
	readonly limits: Record<string, unknown>;
};

/** Makes the bundle of a try-out fleet: one engine a hall, one plain service, two organisations. */
export const makeBundle = (parts: Parts): Bundle => {
	const checked = checkBundle({
		version: 1,
		halls: parts.halls.map(id => ({id, region: 'region-1'})),
		organisations: [
			{id: 'title-company', priority: 'quick', apiKeys: [{sha256: hashApiKey(parts.apiKey), budget: 'title-company.main'}]},
			{id: 'surveyors', priority: 'normal', apiKeys: [{sha256: hashApiKey(parts.otherApiKey), budget: 'surveyors.main'}]},
		],
		models: [{id: 'assistant', maxOutputTokens: 4096, maxPromptTokens: 100_000}],
		services: [{
			id: 'records',
			calls: [
				{
					method: 'GET', path: '/tiles', isRepeatable: true, cost: 1,
				},
				{
					method: 'POST', path: '/plat-notes', isRepeatable: false, cost: 10,
				},
			],
		}],
		endpoints: [
			...Object.entries(parts.engineUrls).map(([name, url]) => ({
				id: `engine-${name}`, hall: name.split('.')[0], kind: 'model', url, serves: ['assistant'], slots: parts.engineSlots, checksSendBy: true,
			})),
			{
				id: 'records-1', hall: parts.halls[0], kind: 'service', url: parts.serviceUrl, serves: ['records'], slots: 50,
			},
		],
		limits: {keepSeconds: 600, ...parts.limits},
		policy: {profile: 'guard_service', shareOfRest: 0.5},
	});
	assertInvariant(checked.ok, 'The try-out bundle has faults.');
	return checked.value;
};
