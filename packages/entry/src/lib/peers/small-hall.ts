/**
In a hall of up to this many hosts each draws for itself and follows the store itself. With one allocator in small halls as
well, the score of the parcel map fell from 0.983 to 0.849 (docs/design/on-the-platform.md).
*/
export const smallHall = 4;
