use super::*;

#[test]
fn shares_one_copy_of_each_name() {
    let mut names = NameInterner::default();
    let first = names.intern("zone-a");
    assert!(Arc::ptr_eq(&first, &names.intern("zone-a")));
    assert_eq!(&*names.intern("zone-b"), "zone-b");
}

#[test]
fn names_beyond_the_bounds_become_unknown() {
    let mut names = NameInterner::default();
    assert_eq!(names.intern(&"x".repeat(MAX_NAME_LENGTH)).len(), MAX_NAME_LENGTH);
    assert_eq!(&*names.intern(&"x".repeat(MAX_NAME_LENGTH + 1)), "");
    for i in 1..MAX_DISTINCT_NAMES {
        assert_eq!(*names.intern(&i.to_string()), *i.to_string());
    }
    assert_eq!(&*names.intern("one too many"), "");
    assert_eq!(&*names.intern("1"), "1", "stored names stay known");
}

#[test]
fn table_finds_indices_and_names() {
    let table = NameTable::new(&["a", "b", "a"].map(String::from));
    assert_eq!(["a", "b", "c", ""].map(|name| table.index(name)), [0, 1, 3, 3]);
    assert_eq!([0, 1, 2, 3, 9].map(|index| &**table.name(index)), ["a", "b", "a", "", ""]);
}
