/** How long a version is remembered whose last endpoint is no longer listed, in ms: its endpoints end their streams first, and callers may take these up. */
export const versionMemoryMs = 60_000;
