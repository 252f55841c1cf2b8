import type {ExecutionContext} from 'ava';
import type {Route} from '../../config/route.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {startEndpoint, type Answer} from './start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './start-host.js';

/** Starts a host with one route before endpoints `e0`, `e1` and so on, which give these answers. All end with the test. */
export const startHostBefore = async (t: ExecutionContext, route: Partial<Route>, answers: readonly Answer[]) => {
	const endpoints = await Promise.all(answers.map(async (answer, index) => startEndpoint(`e${index}`, answer)));
	const host = await startHost(createMemoryRightsStore());
	host.entry.configure(makeConfig({routes: [makeRoute(route)]}));
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	t.teardown(async () => {
		await host.entry.kill();
		for (const endpoint of endpoints) {
			endpoint.close();
		}
	});
	return {...host, seen: () => endpoints.flatMap(({seen}) => seen)};
};
