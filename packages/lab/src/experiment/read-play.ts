import type {PlayFigures} from './play-figures.js';

/** The line of a day: its name, hosts and endpoints, score, worth, served, refused, failed. */
const dayLine = /^\S+ +\d+\/\d+ +\S+ +(?<worth>-?[\d.]+) +(?<served>[\d.]+) +(?<refused>[\d.]+) +(?<failed>[\d.]+) /m;

const callsLine = /(?<calls>[\d.]+) cloud calls/;

const brokenLine = /^rules broken: (?<broken>.*)$/m;

/** Reads what a play printed; `undefined` where it did not end. Pure. */
export const readPlay = (text: string): PlayFigures | undefined => {
	const day = dayLine.exec(text)?.groups;
	return day && {
		worth: Number(day.worth),
		served: Number(day.served),
		refused: Number(day.refused),
		failed: Number(day.failed),
		calls: Number(callsLine.exec(text)?.groups?.calls ?? 0),
		broken: brokenLine.exec(text)?.groups?.broken ?? '',
	};
};
