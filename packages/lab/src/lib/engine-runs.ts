import type {RunningStandIn} from '@deckwheel/stand-ins';
import got from 'got';

/** A run as a stand-in engine counted it. */
type EngineRun = {readonly id: string; readonly served: number};

/** All runs that some stand-in engines ever began, and what they served. */
export const engineRuns = async (engines: Readonly<Record<string, RunningStandIn>>): Promise<readonly EngineRun[]> => {
	const lists = await Promise.all(Object.values(engines).map(async ({url}) =>
		got(`${url}/control/streams`).json<{readonly streams: readonly EngineRun[]}>()));
	return lists.flatMap(({streams}) => streams);
};
