//! Command `import`: an asset register becomes the inventory of a fleet file.

use csv::ReaderBuilder;
use csv::StringRecord;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Vm;

use crate::check;
use crate::document;
use crate::document::Document;
use crate::document::Problem;
use crate::exit::Exit;
use crate::options::ImportOptions;

/// Columns of an asset register; the first four are required.
const COLUMNS: [&str; 7] = [
    "name",
    "pool",
    "zone",
    "rack",
    "cores",
    "memory_mb",
    "accelerators",
];

/// Columns that a register must have.
const REQUIRED: usize = 4;

/// Prints a fleet file with the inventory of a register.
pub(crate) fn run(options: &ImportOptions) -> Exit {
    let inventory = match document::read(&options.file).and_then(|text| inventory(&text)) {
        Ok(inventory) => inventory,
        Err(problems) => return check::report(&options.file, &problems, options.json),
    };
    let base = match options.rules.as_deref().map(rules) {
        Some(Err((file, problems))) => return check::report(&file, &problems, options.json),
        Some(Ok(fleet)) => fleet,
        None => Fleet::default(),
    };
    let fleet = Fleet { inventory, ..base };
    match serde_json::to_string_pretty(&fleet) {
        Ok(text) => {
            println!("{text}");
            Exit::Done
        }
        Err(error) => {
            eprintln!("wigeonhinge: {error}");
            Exit::Refused
        }
    }
}

/// Reads the VMs of an asset register.
///
/// # Errors
///
/// Returns every fault of the register, in the order of lines.
///
/// ```
/// use wigeonhinge_cli::import::inventory;
///
/// let vms = inventory("name,pool,zone,rack,cores\na,crews,west-1,r1,16\n").unwrap();
/// assert_eq!(vms[0].cores, 16);
/// ```
pub fn inventory(text: &str) -> Result<Vec<Vm>, Vec<Problem>> {
    let mut reader = ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader
        .headers()
        .cloned()
        .map_err(|error| vec![unreadable(&error)])?;
    let mut register = Register::new(text, &header);
    if !register.problems.is_empty() {
        return Err(register.problems);
    }
    for record in reader.records() {
        match record {
            Ok(record) => register.record(&record),
            Err(error) => register.problems.push(unreadable(&error)),
        }
    }
    if register.problems.is_empty() {
        Ok(register.vms)
    } else {
        Err(register.problems)
    }
}

/// Reads the fleet file whose rules are kept.
fn rules(path: &str) -> Result<Fleet, (String, Vec<Problem>)> {
    Document::open(path)
        .map(Document::into_fleet)
        .map_err(|problems| (path.to_owned(), problems))
}

struct Register<'a> {
    text: &'a str,
    columns: Vec<Option<usize>>,
    width: usize,
    vms: Vec<Vm>,
    problems: Vec<Problem>,
}

impl<'a> Register<'a> {
    fn new(text: &'a str, header: &StringRecord) -> Self {
        let find = |name: &&str| header.iter().position(|column| column.trim() == *name);
        let columns: Vec<Option<usize>> = COLUMNS.iter().map(find).collect();
        let mut register = Self {
            text,
            columns,
            width: header.len(),
            vms: Vec::new(),
            problems: Vec::new(),
        };
        for (index, name) in COLUMNS.iter().enumerate().take(REQUIRED) {
            if register.columns[index].is_none() {
                let value = header.iter().collect::<Vec<_>>().join(",");
                let expected = format!("a column {name:?}");
                register.push(1, 1, "header", &value, &expected);
            }
        }
        register
    }

    fn record(&mut self, record: &StringRecord) {
        let line = record
            .position()
            .map_or(0, |position| position.line() as usize);
        if record.len() != self.width {
            let value = record.iter().collect::<Vec<_>>().join(",");
            let expected = format!("{} fields", self.width);
            self.push(line, 1, "record", &value, &expected);
            return;
        }
        let before = self.problems.len();
        let vm = Vm {
            name: self.text(record, line, 0),
            pool: self.text(record, line, 1),
            zone: self.text(record, line, 2),
            rack: self.text(record, line, 3),
            cores: self.count(record, line, 4).try_into().unwrap_or(u32::MAX),
            memory_mb: self.count(record, line, 5),
            accelerators: self.count(record, line, 6).try_into().unwrap_or(u32::MAX),
        };
        self.unique(record, line, &vm);
        if self.problems.len() == before {
            self.vms.push(vm);
        }
    }

    fn text(&mut self, record: &StringRecord, line: usize, index: usize) -> String {
        let value = self.value(record, index).unwrap_or_default();
        if value.is_empty() {
            let column = self.column(record, index);
            self.push(line, column, COLUMNS[index], "", "a name");
        }
        value
    }

    fn count(&mut self, record: &StringRecord, line: usize, index: usize) -> u64 {
        let value = self.value(record, index).unwrap_or_default();
        if value.is_empty() {
            return 0;
        }
        match value.parse::<u32>() {
            Ok(count) => u64::from(count),
            Err(_) => {
                let column = self.column(record, index);
                let expected = format!("a whole number from 0 to {}", u32::MAX);
                self.push(line, column, COLUMNS[index], &value, &expected);
                0
            }
        }
    }

    fn unique(&mut self, record: &StringRecord, line: usize, vm: &Vm) {
        let Some(first) = self.vms.iter().find(|known| known.name == vm.name) else {
            return;
        };
        let (index, value, expected) = if first.pool == vm.pool {
            (0, &vm.name, "a name used once".to_owned())
        } else {
            let expected = format!("one pool; VM {:?} is in {:?} already", vm.name, first.pool);
            (1, &vm.pool, expected)
        };
        let column = self.column(record, index);
        self.push(line, column, COLUMNS[index], value, &expected);
    }

    fn value(&self, record: &StringRecord, index: usize) -> Option<String> {
        self.columns[index]
            .and_then(|column| record.get(column))
            .map(|text| text.trim().to_owned())
    }

    /// Returns the column in characters at which a field starts.
    fn column(&self, record: &StringRecord, index: usize) -> usize {
        let start = record
            .position()
            .map_or(0, |position| position.byte() as usize);
        let field = self.columns[index].unwrap_or(0);
        let mut quoted = false;
        let mut passed = 0;
        let row = self
            .text
            .get(start..)
            .unwrap_or_default()
            .trim_start_matches(['\r', '\n']);
        for (offset, letter) in row.chars().enumerate() {
            if passed == field {
                return offset + 1;
            }
            match letter {
                '"' => quoted = !quoted,
                ',' if !quoted => passed += 1,
                _ => {}
            }
        }
        1
    }

    fn push(&mut self, line: usize, column: usize, place: &str, value: &str, expected: &str) {
        self.problems.push(Problem {
            line,
            column,
            place: place.to_owned(),
            value: value.to_owned(),
            expected: expected.to_owned(),
        });
    }
}

fn unreadable(error: &csv::Error) -> Problem {
    let line = error
        .position()
        .map_or(1, |position| position.line() as usize);
    Problem {
        line,
        column: 1,
        place: "record".to_owned(),
        value: String::new(),
        expected: format!("CSV in UTF-8: {error}"),
    }
}
