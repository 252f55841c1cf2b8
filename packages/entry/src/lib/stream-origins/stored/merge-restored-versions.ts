import type {ServiceVersions} from '../../../adapter/service-versions.js';

/**
Merges what a restored store holds of versions with what this host knew before, and returns `undefined` where nothing is lost. Pure.

The base is that of before, since streams were sent by it; versions that only the older copy names stay, since they do no harm.
*/
export const mergeRestoredVersions = (restored: readonly ServiceVersions[], before: readonly ServiceVersions[]): readonly ServiceVersions[] | undefined => {
	const others = restored.filter(({service}) => before.every(entry => entry.service !== service));
	const merged = before.map((entry): ServiceVersions => {
		const found = restored.find(({service}) => service === entry.service);
		return {...entry, versions: [...new Set([...entry.versions, ...found?.versions ?? []])]};
	});
	const isSame = merged.every(({service, base, versions}) => {
		const found = restored.find(entry => entry.service === service);
		return found?.base === base && found.versions.length === versions.length;
	});
	return isSame ? undefined : [...others, ...merged];
};
